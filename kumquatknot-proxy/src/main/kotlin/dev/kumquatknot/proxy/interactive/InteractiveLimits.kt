package dev.kumquatknot.proxy.interactive

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Time-outs and limits of interactive sessions.
 *
 * @property opening time that a member has to accept a connection: the handshake, several round trips between regions
 * and a queue for a slot.
 * @property report time that a member has to answer a question about itself.
 * @property settling time that session values and roll-backs have, which need no slot.
 * @property connectionWait time that admitted work waits for a connection.
 * @property slotShare part of a member's slots that one VM fills at a time. Several VMs use a member side by side: more
 * would put urgent statements behind others in the member's own queue.
 * @property connectionReserve connections of each member that are left to VMs that have none.
 * @property connectionShare part of a member's connections that one VM holds at most.
 * @property openingsAtOnce connections to a member that one VM opens at a time. Each takes a slot of the member for its
 * handshake, so after a loss of all VMs their openings together would keep the slots from the first statements.
 * @property idleConnections connections to a member that are kept open while they are idle.
 * @property idleClose time after which an idle connection beyond that is closed.
 * @property attempts members that one statement is sent to at most.
 * @property readAttemptPart part of a statement's time after which a read without answer is tried elsewhere.
 * @property stalenessMargin time taken off the staleness that routes allow, for the way of the read.
 * @property observation interval of the questions to members.
 * @property retryPause time before a statement is offered to a member again that was busy.
 * @property goneAfter time for which a member stays known after discovery lost it; entries that lapsed while the store
 * was away return within two seconds.
 * @property leavingWrites time for which a leaving primary still gets writes while another one takes over.
 * @property firstConfiguration time that a new session waits for a node that has just started; callers give up after
 * 2 s.
 * @property maintenance interval of the clean-up of connections and queues.
 */
public data class InteractiveLimits(
    val opening: Duration = 1_500.milliseconds,
    val report: Duration = 400.milliseconds,
    val settling: Duration = 500.milliseconds,
    val connectionWait: Duration = 200.milliseconds,
    val slotShare: Double = 0.67,
    val connectionReserve: Int = 2,
    val connectionShare: Double = 0.4,
    val openingsAtOnce: Int = 2,
    val idleConnections: Int = 1,
    val idleClose: Duration = 1_500.milliseconds,
    val attempts: Int = 4,
    val readAttemptPart: Double = 0.5,
    val stalenessMargin: Duration = 150.milliseconds,
    val observation: Duration = 100.milliseconds,
    val retryPause: Duration = 20.milliseconds,
    val goneAfter: Duration = 2_500.milliseconds,
    val leavingWrites: Duration = 5.seconds,
    val firstConfiguration: Duration = 1_500.milliseconds,
    val maintenance: Duration = 50.milliseconds,
)
