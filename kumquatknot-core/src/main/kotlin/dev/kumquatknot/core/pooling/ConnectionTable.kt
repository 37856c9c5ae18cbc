package dev.kumquatknot.core.pooling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Identifier of a connection, unique within its [ConnectionTable]. */
@JvmInline
public value class ConnectionNumber(public val value: Long)

/** Purpose for which a connection is acquired. */
public enum class ConnectionUse {
    /** A single batch that begins and ends its own transaction. */
    BATCH,

    /** An interactive transaction, which holds its connection between statements. */
    TRANSACTION,
}

/** Result of acquiring a connection from a [ConnectionTable]. */
public sealed interface Acquisition {
    /** The open connection [number] is assigned to the caller. */
    public data class Reuse(val number: ConnectionNumber) : Acquisition

    /** The caller must open a connection as [number] and report the outcome to the table. */
    public data class Open(val number: ConnectionNumber) : Acquisition

    /** No connection is available now; if [retryAfter] is given, opening one may be tried again after it. */
    public data class Wait(val retryAfter: Duration? = null) : Acquisition

    /** The maximum number of transactions already hold a connection. */
    public data object TooManyTransactions : Acquisition

    /** The table was deactivated by [ConnectionTable.giveUp]. */
    public data object GivenUp : Acquisition
}

/**
 * Limits and timeouts of a [ConnectionTable].
 *
 * @property reservedForControl connections to the member that are reserved for control calls.
 * @property concurrentOpens maximum number of connections that are opening at the same time.
 * @property idleTimeout time after which an idle connection is closed.
 * @property maximumAge age from which a connection is closed when it is released or idle.
 * @property openBackoff delay after the first failed open; doubles with each further failure, up to
 * [maximumOpenBackoff].
 */
public data class PoolingPolicy(
    val reservedForControl: Int = 2,
    val concurrentOpens: Int = 2,
    val idleTimeout: Duration = 1.minutes,
    val maximumAge: Duration = 30.minutes,
    val openBackoff: Duration = 50.milliseconds,
    val maximumOpenBackoff: Duration = 2.seconds,
)

/**
 * Number of connections of a table by state.
 *
 * @property opening connections assigned to a batch or transaction that are still opening.
 */
public data class ConnectionCounts(val opening: Int, val idle: Int, val batches: Int, val transactions: Int) {
    /** All connections that count towards the limit, including those that are opening. */
    val total: Int get() = idle + batches + transactions
}

/**
 * Bookkeeping of the connections that one VM holds to one member.
 *
 * Limits the connections that are open or opening, and those that open at the same time. The connection released last
 * is reused first, so that surplus connections stay idle and are closed. Transactions hold at most the limit minus the
 * member's slots, so that batches always find a connection.
 *
 * Not thread-safe. The table does no input or output: the caller opens and closes connections as the results require.
 *
 * @param connections maximum number of connections that the member accepts.
 * @param slots number of statements that the member runs at the same time.
 */
public class ConnectionTable(
    private val connections: Int,
    private val slots: Int,
    private val policy: PoolingPolicy = PoolingPolicy(),
) {
    private val entries = HashMap<ConnectionNumber, Entry>()
    private val idle = ArrayDeque<Entry>()
    private var share = connections
    private var lastNumber = 0L
    private var opening = 0
    private var batches = 0
    private var transactions = 0
    private var failedOpens = 0
    private var nextOpenAt = Duration.ZERO
    private var givenUp = false

    /** Maximum number of connections now. */
    public val limit: Int get() = (minOf(share, connections) - policy.reservedForControl).coerceAtLeast(0)

    /** Maximum number of transactions that hold a connection now. */
    public val transactionLimit: Int get() = (limit - slots).coerceAtLeast(0)

    /** Current number of connections by state. */
    public val counts: ConnectionCounts get() = ConnectionCounts(opening, idle.size, batches, transactions)

    /** Acquires a connection for [use]. */
    public fun acquire(use: ConnectionUse, now: Duration): Acquisition = when {
        givenUp -> Acquisition.GivenUp
        use == ConnectionUse.TRANSACTION && transactions >= transactionLimit -> Acquisition.TooManyTransactions
        idle.isNotEmpty() -> reuse(use)
        entries.size >= limit || opening >= policy.concurrentOpens -> Acquisition.Wait()
        now < nextOpenAt -> Acquisition.Wait(nextOpenAt - now)
        else -> open(use, now)
    }

    /** Records that the connection was opened and is in use. Returns false if the caller must close it instead. */
    public fun opened(number: ConnectionNumber, now: Duration): Boolean {
        val entry = entry(number)
        check(entry.opening) { "connection $number is not opening" }
        entry.opening = false
        entry.openedAt = now
        entry.lastResponseAt = now
        opening--
        failedOpens = 0
        if (!givenUp) return true
        remove(entry)
        return false
    }

    /** Records that the connection could not be opened, and delays the next open. */
    public fun openFailed(number: ConnectionNumber, now: Duration) {
        val entry = entry(number)
        check(entry.opening) { "connection $number is not opening" }
        opening--
        remove(entry)
        val pause = policy.openBackoff * (1 shl minOf(failedOpens, MAXIMUM_DOUBLINGS))
        nextOpenAt = now + minOf(pause, policy.maximumOpenBackoff)
        failedOpens++
    }

    /**
     * Releases a connection; it can be reused only if it is [clean], without leftover session state. Returns the
     * connections to close.
     */
    public fun giveBack(number: ConnectionNumber, clean: Boolean, now: Duration): List<ConnectionNumber> {
        val entry = entry(number)
        check(!entry.opening && !entry.idle) { "connection $number is not in use" }
        val keep = clean && !givenUp && entries.size <= limit && now - entry.openedAt < policy.maximumAge
        if (!keep) {
            remove(entry)
            return listOf(number)
        }
        uncountUse(entry)
        entry.idle = true
        entry.lastResponseAt = now
        idle.addLast(entry)
        return emptyList()
    }

    /**
     * Removes a connection that did not respond before its deadline, and the idle ones whose last response is at least
     * as old: whatever broke the one has probably broken them too. Returns the connections to close.
     */
    public fun drop(number: ConnectionNumber): List<ConnectionNumber> {
        val silent = entry(number)
        check(!silent.opening && !silent.idle) { "connection $number is not in use" }
        remove(silent)
        return listOf(number) + closeIdle { it.lastResponseAt <= silent.lastResponseAt }
    }

    /** Sets how many of the member's connections this VM may hold. Returns the connections to close. */
    public fun changeShare(share: Int): List<ConnectionNumber> {
        this.share = share
        return closeExcess()
    }

    /** Removes the connections that have been idle for too long or are too old, and returns them to be closed. */
    public fun trim(now: Duration): List<ConnectionNumber> = closeIdle {
        now - it.lastResponseAt >= policy.idleTimeout || now - it.openedAt >= policy.maximumAge
    }

    /** Deactivates the table: no connection can be acquired. Returns the idle connections, which must be closed. */
    public fun giveUp(): List<ConnectionNumber> {
        givenUp = true
        return closeIdle { true }
    }

    /** Reactivates the table after [giveUp]. */
    public fun takeUp() {
        givenUp = false
    }

    private fun reuse(use: ConnectionUse): Acquisition {
        val entry = idle.removeLast()
        entry.idle = false
        countUse(entry, use)
        return Acquisition.Reuse(entry.number)
    }

    private fun open(use: ConnectionUse, now: Duration): Acquisition {
        val entry = Entry(ConnectionNumber(++lastNumber), use, now)
        entries[entry.number] = entry
        opening++
        countUse(entry, use)
        return Acquisition.Open(entry.number)
    }

    private fun countUse(entry: Entry, use: ConnectionUse) {
        entry.use = use
        if (use == ConnectionUse.BATCH) batches++ else transactions++
    }

    private fun uncountUse(entry: Entry) {
        if (entry.use == ConnectionUse.BATCH) batches-- else transactions--
    }

    private fun remove(entry: Entry) {
        if (!entry.idle) uncountUse(entry)
        entries.remove(entry.number)
    }

    private fun closeExcess(): List<ConnectionNumber> {
        val closed = ArrayList<ConnectionNumber>()
        while (entries.size > limit && idle.isNotEmpty()) {
            val entry = idle.removeFirst()
            entries.remove(entry.number)
            closed += entry.number
        }
        return closed
    }

    private fun closeIdle(predicate: (Entry) -> Boolean): List<ConnectionNumber> {
        val closed = idle.filter(predicate)
        idle.removeAll(closed.toSet())
        closed.forEach { entries.remove(it.number) }
        return closed.map { it.number }
    }

    private fun entry(number: ConnectionNumber): Entry =
        checkNotNull(entries[number]) { "connection $number is not in the table" }

    private class Entry(val number: ConnectionNumber, var use: ConnectionUse, var openedAt: Duration) {
        var opening = true
        var idle = false
        var lastResponseAt = openedAt
    }

    private companion object {
        const val MAXIMUM_DOUBLINGS = 10
    }
}
