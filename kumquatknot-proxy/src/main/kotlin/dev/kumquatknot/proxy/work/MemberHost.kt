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
 * One member as this VM serves it: its connections and queue, and the observation of its group.
 *
 * @property port the member itself, for reports outside the queue.
 */
public class MemberHost(
    public val database: DatabaseConfiguration,
    public val member: MemberConfiguration,
    public val port: MemberPort,
    public val gateway: MemberGateway,
    public val group: GroupRunner,
    private val clock: Clock,
) {
    /** Term in which the table of idempotency records was last seen to exist, or null. */
    @Volatile
    internal var recordTableTerm: Term? = null

    internal val catchUpMonitor = CatchUpMonitor(port, group, clock)

    /** Name of the member. */
    public val name: MemberName get() = member.name

    /** Whether the member is the primary, as far as this VM knows. */
    public val isPrimary: Boolean get() = group.view().primary == name

    /** What this VM tells others of the member. */
    public fun status(): MemberStatus {
        val view = group.view()
        val load = gateway.load
        return MemberStatus(
            term = view.term,
            primary = view.primary,
            point = maxOf(catchUpMonitor.known, view.pointOf(name)),
            wait = load.queue.wait,
            service = load.queue.serviceTime,
            inFlight = load.queue.inFlight,
            queued = load.queue.queued.values.sum(),
            lag = catchUpMonitor.lag,
            reachable = true,
        )
    }

    /** Runs [batch] on a connection of its own and learns from the reply. */
    internal fun runBatch(
        item: WorkItem,
        batch: StatementBatch,
        patience: Duration,
    ): Either<GatewayFailure, BatchReply> = gateway.execute(item, learning(batch, patience))

    /** An action that runs [batch], waits at most [patience] for its reply and learns from it. */
    internal fun learning(batch: StatementBatch, patience: Duration): MemberAction<BatchReply> =
        { connection, timeout ->
            val sentAt = clock.elapsed()
            connection.run(batch, minOf(timeout, patience)).onRight { learn(sentAt, it) }
        }

    private fun learn(sentAt: Duration, reply: BatchReply) {
        group.observeReply(name, sentAt, reply)
        catchUpMonitor.observe(reply.point)
    }
}
