package dev.kumquatknot.proxy.member

import arrow.core.Either
import arrow.core.flatMap
import dev.kumquatknot.core.admission.AdmissionPolicy
import dev.kumquatknot.core.admission.AdmissionQueue
import dev.kumquatknot.core.admission.QueueLoad
import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.member.MemberConnection
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.pooling.ConnectionCounts
import dev.kumquatknot.core.pooling.ConnectionTable
import dev.kumquatknot.core.pooling.ConnectionUse
import dev.kumquatknot.core.pooling.PoolingPolicy
import dev.kumquatknot.core.time.Clock
import kotlin.time.Duration

/** What is done with a connection of a member, within the given time. */
public typealias MemberAction<T> = (connection: MemberConnection, timeout: Duration) -> Either<MemberFailure, T>

/**
 * Figures of a [MemberGateway] for routing, load reports and metrics.
 *
 * @property queue slots and waiting work.
 * @property connections the connections held.
 */
public data class GatewayLoad(val queue: QueueLoad, val connections: ConnectionCounts)

/**
 * The one place through which this VM uses a member: admission to the member's slots and the pool of its connections.
 *
 * Safe for use by any number of worker threads, which block until their work has run or is refused. There are two
 * locks, of the slots and of the connections. Neither is ever taken while the other is held, and none is held during a
 * call to the member, so there is no order among them to keep.
 *
 * @param connectionShare connections of the member that this VM may hold now; read each time one is taken.
 */
public class MemberGateway(
    private val configuration: MemberConfiguration,
    port: MemberPort,
    private val clock: Clock,
    connectionShare: () -> Int = { configuration.connections },
    admissionPolicy: AdmissionPolicy = AdmissionPolicy(),
    poolingPolicy: PoolingPolicy = PoolingPolicy(),
) {
    private val slots = SlotGate(configuration.name, AdmissionQueue(configuration.slots, admissionPolicy), clock)
    private val pool = ConnectionPool(
        port,
        ConnectionTable(configuration.connections, configuration.slots, poolingPolicy),
        clock,
        connectionShare,
    )

    /** The figures of this moment. */
    public val load: GatewayLoad get() = GatewayLoad(slots.load, pool.counts)

    /** Whether no connection is held, as is the case some time after [giveUp]. */
    public val drained: Boolean get() = pool.counts.total == 0

    /**
     * Waits for a slot and a connection, runs [action] and gives both back. The connection is used again only if each
     * batch on it was answered and left no transaction open.
     */
    public fun <T> execute(item: WorkItem, action: MemberAction<T>): Either<GatewayFailure, T> =
        withSlot(item) { use ->
            pool.take(ConnectionUse.BATCH, item.deadline).flatMap { connection ->
                try {
                    use.run(connection, action)
                } finally {
                    pool.giveBack(connection, connection.clean)
                }
            }
        }

    /**
     * Takes a connection for an interactive transaction, without a slot. The caller gives it back by
     * [PinnedConnection.release], also after a failure or when the transaction has idled for too long.
     */
    public fun pin(item: WorkItem): Either<GatewayFailure, PinnedConnection> =
        pool.take(ConnectionUse.TRANSACTION, item.deadline).map { PinnedConnection(it, this) }

    internal fun <T> executePinned(
        connection: TrackedConnection,
        item: WorkItem,
        action: MemberAction<T>,
    ): Either<GatewayFailure, T> = withSlot(item) { it.run(connection, action) }

    internal fun unpin(connection: TrackedConnection, clean: Boolean) {
        pool.giveBack(connection, clean && connection.clean)
    }

    /** Closes idle connections and applies a changed share; to be called about every second. */
    public fun maintain() {
        pool.maintain()
    }

    /**
     * Ends the batches under way without their answers, because the member is no longer what they were sent for. Their
     * outcome is as unknown as that of any unanswered batch.
     */
    public fun interrupt() {
        pool.interrupt()
    }

    /**
     * Gives the member up to another VM: waiting and new work is refused as [GatewayFailure.GivenUp], idle connections
     * close at once and the others when their work ends.
     */
    public fun giveUp() {
        slots.close()
        pool.giveUp()
    }

    /** Takes the member up again after [giveUp]. */
    public fun takeUp() {
        pool.takeUp()
        slots.open()
    }

    private fun <T> withSlot(item: WorkItem, work: (SlotUse) -> Either<GatewayFailure, T>): Either<GatewayFailure, T> =
        slots.enter(item).flatMap { ticket ->
            val use = SlotUse(ticket, configuration.name, clock)
            try {
                work(use)
            } finally {
                use.end(slots)
            }
        }
}
