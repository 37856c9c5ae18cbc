package dev.kumquatknot.proxy.pool

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts and limits of interactive sessions.
 *
 * @property openTimeout time that a member has to accept a connection: the handshake, several round trips between
 * regions and a queue for a slot.
 * @property reportTimeout time that a member has to answer a poll.
 * @property sessionSetupTimeout time for setting session values, for beginning a transaction and for rollbacks, none of
 * which needs a slot.
 * @property connectionWait time that admitted work waits for a connection.
 * @property slotShare share of a member's slots that one VM fills at a time. Several VMs use a member concurrently; a
 * larger share would put urgent statements behind others in the member's own queue.
 * @property connectionReserve connections of each member that are left to VMs that have none.
 * @property connectionShare maximum share of a member's connections that one VM holds.
 * @property maximumConcurrentOpenings connections to a member that one VM opens at a time. Each takes a slot of the
 * member for its handshake, so after a loss of all VMs their openings together would keep the slots from the first
 * statements.
 * @property maximumIdleConnections connections to a member that are kept open while they are idle.
 * @property idleCloseDelay time after which a surplus idle connection is closed.
 * @property scarceIdleCloseDelay the same for every idle connection to a member that was full recently; long enough
 * for a session's next statement, short enough for other VMs to get one in their turn.
 * @property maximumScarceKeepTime maximum time for which an idle connection is kept where there are more VMs than
 * connections.
 * @property maximumAttempts maximum number of members to which one statement is sent.
 * @property readAttemptShare share of a statement's remaining time after which an unanswered read is retried elsewhere.
 * @property stalenessMargin time subtracted from the staleness that routes allow, for the transit of the read.
 * @property pollInterval interval at which members are checked for polling.
 * @property retryDelay delay before a statement is retried after a busy or read-only member or without a primary.
 * @property removalDelay time for which a member is kept after discovery stopped listing it; entries that expired while
 * the store was unavailable return within two seconds.
 * @property leavingWriteTime time for which a leaving primary still gets writes while another member takes over.
 * @property firstConfigurationTimeout time that a new session waits for a node that has just started; callers give up
 * after 2 s.
 * @property maintenanceInterval interval of the cleanup of connections and queues.
 */
public data class InteractiveLimits(
    val openTimeout: Duration = 1_500.milliseconds,
    val reportTimeout: Duration = 400.milliseconds,
    val sessionSetupTimeout: Duration = 500.milliseconds,
    val connectionWait: Duration = 200.milliseconds,
    val slotShare: Double = 0.67,
    val connectionReserve: Int = 2,
    val connectionShare: Double = 0.4,
    val maximumConcurrentOpenings: Int = 2,
    val maximumIdleConnections: Int = 1,
    val idleCloseDelay: Duration = 1_500.milliseconds,
    val scarceIdleCloseDelay: Duration = 250.milliseconds,
    val maximumScarceKeepTime: Duration = 3.seconds,
    val maximumAttempts: Int = 4,
    val readAttemptShare: Double = 0.5,
    val stalenessMargin: Duration = 150.milliseconds,
    val pollInterval: Duration = 100.milliseconds,
    val retryDelay: Duration = 20.milliseconds,
    val removalDelay: Duration = 2_500.milliseconds,
    val leavingWriteTime: Duration = 5.seconds,
    val firstConfigurationTimeout: Duration = 1_500.milliseconds,
    val maintenanceInterval: Duration = 50.milliseconds,
)
