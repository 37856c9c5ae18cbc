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

/** Operation on a connection of a member that must end within the given timeout. */
public typealias MemberAction<T> = (connection: MemberConnection, timeout: Duration) -> Either<MemberFailure, T>

/**
 * Load of a [MemberGateway], for routing, load reports and metrics.
 *
 * @property queue load of the slots and the admission queue.
 * @property connections number of open connections by their use.
 */
public data class GatewayLoad(val queue: QueueLoad, val connections: ConnectionCounts)

/**
 * Single access path of this VM to a member: admission to the member's slots and the pool of its connections.
 *
 * Thread-safe; worker threads block until their work has run or is refused. Slots and connections have a lock each.
 * Neither is acquired while the other is held, and none is held during a call to the member, so that no lock order is
 * needed.
 *
 * @param connectionShare number of connections of the member that this VM may hold now; read at each acquisition.
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

    /** Current load of the queue and the connections. */
    public val load: GatewayLoad get() = GatewayLoad(slots.load, pool.counts)

    /** Whether no connection is open, which is the case some time after [drain]. */
    public val drained: Boolean get() = pool.counts.total == 0

    /**
     * Waits for a slot and a connection, runs [action] and releases both. The connection is reused only if every batch
     * on it was answered and no transaction is open.
     */
    public fun <T> execute(item: WorkItem, action: MemberAction<T>): Either<GatewayFailure, T> =
        withSlot(item) { use ->
            pool.acquire(ConnectionUse.BATCH, item.deadline).flatMap { connection ->
                try {
                    use.run(connection, action)
                } finally {
                    pool.release(connection, connection.clean)
                }
            }
        }

    /**
     * Acquires a connection for an interactive transaction, without a slot. The caller must release it by
     * [PinnedConnection.release], also after a failure or when the transaction was idle for too long.
     */
    public fun pin(item: WorkItem): Either<GatewayFailure, PinnedConnection> =
        pool.acquire(ConnectionUse.TRANSACTION, item.deadline).map { PinnedConnection(it, this) }

    internal fun <T> executePinned(
        connection: TrackedConnection,
        item: WorkItem,
        action: MemberAction<T>,
    ): Either<GatewayFailure, T> = withSlot(item) { it.run(connection, action) }

    internal fun unpin(connection: TrackedConnection, clean: Boolean) {
        pool.release(connection, clean && connection.clean)
    }

    /** Closes idle connections and applies a changed share; to be called about once a second. */
    public fun maintain() {
        pool.maintain()
    }

    /**
     * Closes the connections in use without waiting for the answers, because the member has lost the role for which the
     * batches were sent. Their outcome is unknown, as that of any unanswered batch.
     */
    public fun interrupt() {
        pool.interrupt()
    }

    /**
     * Stops serving the member, which another VM takes over. Queued and new work is refused as
     * [GatewayFailure.NotServed]; idle connections are closed at once, the others when their work ends.
     */
    public fun drain() {
        slots.close()
        pool.drain()
    }

    /** Serves the member again after [drain]. */
    public fun resume() {
        pool.resume()
        slots.open()
    }

    private fun <T> withSlot(item: WorkItem, work: (SlotUse) -> Either<GatewayFailure, T>): Either<GatewayFailure, T> =
        slots.acquire(item).flatMap { ticket ->
            val use = SlotUse(ticket, configuration.name, clock)
            try {
                work(use)
            } finally {
                use.end(slots)
            }
        }
}
