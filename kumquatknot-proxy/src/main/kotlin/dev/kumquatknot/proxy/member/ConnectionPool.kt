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

/** The connections of one [ConnectionTable]. Its lock is held neither while opening nor while closing one. */
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

    /** Takes a connection, opening one where needed, at most until [deadline]. */
    fun take(use: ConnectionUse, deadline: Duration): Either<GatewayFailure, TrackedConnection> {
        applyShare()
        while (true) {
            val now = clock.elapsed()
            if (now >= deadline) return GatewayFailure.NoFreeConnection(port.member, RETRY_AFTER).left()
            val taken = when (val acquisition = acquire(use, deadline)) {
                is Acquisition.Reuse -> lock.withLock { connections.getValue(acquisition.number) }.right()
                is Acquisition.Open -> open(acquisition.number, deadline)
                is Acquisition.Wait -> null
                Acquisition.TooManyTransactions -> GatewayFailure.NoFreeConnection(port.member, RETRY_AFTER).left()
                Acquisition.GivenUp -> GatewayFailure.GivenUp(port.member).left()
            }
            if (taken != null) return taken
        }
    }

    /** Gives a connection back, which is closed unless it is [clean]. */
    fun giveBack(connection: TrackedConnection, clean: Boolean) = change {
        if (connection.silent) {
            table.drop(
                connection.number,
            )
        } else {
            table.giveBack(connection.number, clean, clock.elapsed())
        }
    }

    /** Closes what has been unused for too long, and what exceeds the share of this VM. */
    fun maintain() {
        applyShare()
        change { table.trim(clock.elapsed()) }
    }

    /** Closes the connections in use; whoever uses one sees it broken and gives it back. */
    fun interrupt() = lock.withLock { connections.values.filter { it.inUse } }.forEach { it.close() }

    fun giveUp() = change { table.giveUp() }

    fun takeUp() = lock.withLock { table.takeUp() }

    private fun applyShare() {
        val share = connectionShare()
        if (share != lastShare) change { table.changeShare(share).also { lastShare = share } }
    }

    private fun acquire(use: ConnectionUse, deadline: Duration): Acquisition = lock.withLock {
        val now = clock.elapsed()
        val acquisition = table.acquire(use, now)
        if (acquisition is Acquisition.Wait) {
            val patience = minOf(deadline - now, acquisition.retryAfter ?: Duration.INFINITE)
            changed.await(patience.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        }
        acquisition
    }

    /** Returns null where the member has no connection to spare yet, which is worth another try. */
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
        val wanted = lock.withLock {
            changed.signalAll()
            table.opened(number, clock.elapsed()).also { if (it) connections[number] = tracked }
        }
        if (wanted) return tracked.right()
        tracked.close()
        return GatewayFailure.GivenUp(port.member).left()
    }

    private fun change(close: () -> List<ConnectionNumber>) {
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
