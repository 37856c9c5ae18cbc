package dev.kumquatknot.proxy.work

import arrow.core.Either
import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.group.GroupRunner
import dev.kumquatknot.proxy.member.GatewayFailure
import dev.kumquatknot.proxy.member.MemberAction
import dev.kumquatknot.proxy.member.MemberGateway
import dev.kumquatknot.proxy.relay.MemberStatus
import kotlin.time.Duration

/**
 * A member that this VM serves, with its connections, its admission queue and the observation of its group.
 *
 * @property port client of the member, for reports that bypass the admission queue.
 */
public class MemberHost(
    public val database: DatabaseConfiguration,
    public val member: MemberConfiguration,
    public val port: MemberPort,
    public val gateway: MemberGateway,
    public val group: GroupRunner,
    private val clock: Clock,
) {
    /** Term in which the table of idempotency records was last found to exist, or null. */
    @Volatile
    internal var recordTableTerm: Term? = null

    internal val catchUpMonitor = CatchUpMonitor(port, group, clock)

    /** Name of the member from its configuration. */
    public val name: MemberName get() = member.name

    /** Whether the member is the primary in the current view of this VM, which may be outdated. */
    public val isPrimary: Boolean get() = group.view().primary == name

    /** Returns the status of the member that is sent to other VMs with every answer. */
    public fun status(): MemberStatus {
        val view = group.view()
        val load = gateway.load
        return MemberStatus(
            term = view.term,
            primary = view.primary,
            point = maxOf(catchUpMonitor.observedPoint, view.pointOf(name)),
            wait = load.queue.wait,
            service = load.queue.serviceTime,
            inFlight = load.queue.inFlight,
            queued = load.queue.queued.values.sum(),
            lag = catchUpMonitor.lag,
            reachable = true,
        )
    }

    /** Runs [batch] on a pooled connection and records the state that its reply reports. */
    internal fun runBatch(
        item: WorkItem,
        batch: StatementBatch,
        replyTimeout: Duration,
    ): Either<GatewayFailure, BatchReply> = gateway.execute(item, observedBatch(batch, replyTimeout))

    /** Returns an action that runs [batch], waits at most [replyTimeout] and records the state in its reply. */
    internal fun observedBatch(batch: StatementBatch, replyTimeout: Duration): MemberAction<BatchReply> =
        { connection, timeout ->
            val sentAt = clock.elapsed()
            connection.run(batch, minOf(timeout, replyTimeout)).onRight { observeReply(sentAt, it) }
        }

    private fun observeReply(sentAt: Duration, reply: BatchReply) {
        group.observeReply(name, sentAt, reply)
        catchUpMonitor.observe(reply.point)
    }
}
