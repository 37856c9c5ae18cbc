package dev.kumquatknot.proxy.member

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.member.MemberConnection
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.pooling.Acquisition
import dev.kumquatknot.core.pooling.ConnectionCounts
import dev.kumquatknot.core.pooling.ConnectionNumber
import dev.kumquatknot.core.pooling.ConnectionTable
import dev.kumquatknot.core.pooling.ConnectionUse
import dev.kumquatknot.core.time.Clock
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Pool of the connections that a [ConnectionTable] accounts for. Its lock is not held while one opens or closes. */
internal class ConnectionPool(
    private val port: MemberPort,
    private val table: ConnectionTable,
    private val clock: Clock,
    private val connectionShare: () -> Int,
) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val connections = HashMap<ConnectionNumber, TrackedConnection>()

    @Volatile
    private var lastShare: Int? = null

    val counts: ConnectionCounts get() = lock.withLock { table.counts }

    /** Acquires a connection, opening a new one if needed; blocks at most until [deadline]. */
    fun acquire(use: ConnectionUse, deadline: Duration): Either<GatewayFailure, TrackedConnection> {
        applyShare()
        while (true) {
            val now = clock.elapsed()
            if (now >= deadline) return GatewayFailure.NoFreeConnection(port.member, RETRY_AFTER).left()
            val acquired = when (val acquisition = acquireOrWait(use, deadline)) {
                is Acquisition.Reuse -> lock.withLock { connections.getValue(acquisition.number) }.right()
                is Acquisition.Open -> open(acquisition.number, deadline)
                is Acquisition.Wait -> null
                Acquisition.TooManyTransactions -> GatewayFailure.NoFreeConnection(port.member, RETRY_AFTER).left()
                Acquisition.GivenUp -> GatewayFailure.NotServed(port.member).left()
            }
            if (acquired != null) return acquired
        }
    }

    /** Returns a connection to the pool, or closes it if it is not [clean]. */
    fun release(connection: TrackedConnection, clean: Boolean) = applyAndClose {
        if (connection.unanswered) {
            table.drop(
                connection.number,
            )
        } else {
            table.giveBack(connection.number, clean, clock.elapsed())
        }
    }

    /** Closes connections that were idle for too long or exceed the share of this VM. */
    fun maintain() {
        applyShare()
        applyAndClose { table.trim(clock.elapsed()) }
    }

    /** Closes the connections in use; their users find them broken and release them. */
    fun interrupt() = lock.withLock { connections.values.filter { it.inUse } }.forEach { it.close() }

    fun drain() = applyAndClose { table.giveUp() }

    fun resume() = lock.withLock { table.takeUp() }

    private fun applyShare() {
        val share = connectionShare()
        if (share != lastShare) applyAndClose { table.changeShare(share).also { lastShare = share } }
    }

    private fun acquireOrWait(use: ConnectionUse, deadline: Duration): Acquisition = lock.withLock {
        val now = clock.elapsed()
        val acquisition = table.acquire(use, now)
        if (acquisition is Acquisition.Wait) {
            val waitTime = minOf(deadline - now, acquisition.retryAfter ?: Duration.INFINITE)
            changed.await(waitTime.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        }
        acquisition
    }

    /** Returns null if the member refuses more connections at the moment; the caller tries again. */
    private fun open(number: ConnectionNumber, deadline: Duration): Either<GatewayFailure, TrackedConnection>? {
        var connected: Either<MemberFailure, MemberConnection>? = null
        try {
            connected = port.connect(minOf(deadline - clock.elapsed(), CONNECT_TIMEOUT))
        } finally {
            if (connected?.isRight() != true) openFailed(number)
        }
        return connected?.fold({ connectFailed(it) }, { opened(number, it) })
    }

    private fun openFailed(number: ConnectionNumber) = lock.withLock {
        table.openFailed(number, clock.elapsed())
        changed.signalAll()
    }

    private fun connectFailed(failure: MemberFailure): Either<GatewayFailure, TrackedConnection>? =
        if (failure is MemberFailure.TooManyConnections) null else GatewayFailure.ConnectFailed(failure).left()

    private fun opened(
        number: ConnectionNumber,
        connection: MemberConnection,
    ): Either<GatewayFailure, TrackedConnection> {
        val tracked = TrackedConnection(number, connection)
        val accepted = lock.withLock {
            changed.signalAll()
            table.opened(number, clock.elapsed()).also { if (it) connections[number] = tracked }
        }
        if (accepted) return tracked.right()
        tracked.close()
        return GatewayFailure.NotServed(port.member).left()
    }

    private fun applyAndClose(close: () -> List<ConnectionNumber>) {
        val closed = lock.withLock {
            changed.signalAll()
            close().mapNotNull { connections.remove(it) }
        }
        closed.forEach { it.close() }
    }

    private companion object {
        val CONNECT_TIMEOUT = 1.seconds
        val RETRY_AFTER = 100.milliseconds
    }
}
