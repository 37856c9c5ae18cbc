package dev.kumquatknot.core.pooling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Number of one connection, unique within its [ConnectionTable]. */
@JvmInline
public value class ConnectionNumber(public val value: Long)

/** What a connection is taken for. */
public enum class ConnectionUse {
    /** One batch that begins and ends its own transaction. */
    BATCH,

    /** An interactive transaction, which keeps its connection between statements. */
    TRANSACTION,
}

/** Result of asking a [ConnectionTable] for a connection. */
public sealed interface Acquisition {
    /** The open connection [number] is taken. */
    public data class Reuse(val number: ConnectionNumber) : Acquisition

    /** A new connection is to be opened as [number]; its outcome is told to the table. */
    public data class Open(val number: ConnectionNumber) : Acquisition

    /** No connection is free now; one may be later, at the latest worth trying after [retryAfter] if that is given. */
    public data class Wait(val retryAfter: Duration? = null) : Acquisition

    /** As many transactions as allowed hold a connection. */
    public data object TooManyTransactions : Acquisition

    /** The table has been given up. */
    public data object GivenUp : Acquisition
}

/**
 * Limits of a [ConnectionTable].
 *
 * @property reservedForControl connections of the member that the pool leaves to control calls.
 * @property concurrentOpens connections that may be opening at the same time.
 * @property idleTimeout time after which an unused connection is closed.
 * @property greatestAge time after which a connection is closed when it is given back.
 * @property openBackoff first pause after a failed open; it doubles up to [greatestOpenBackoff].
 */
public data class PoolingPolicy(
    val reservedForControl: Int = 2,
    val concurrentOpens: Int = 2,
    val idleTimeout: Duration = 1.minutes,
    val greatestAge: Duration = 30.minutes,
    val openBackoff: Duration = 50.milliseconds,
    val greatestOpenBackoff: Duration = 2.seconds,
)

/**
 * Connections of a table by what they do.
 *
 * @property opening those taken for batches or transactions that are still opening.
 */
public data class ConnectionCounts(val opening: Int, val idle: Int, val batches: Int, val transactions: Int) {
    /** All connections that count against the member's limit. */
    val total: Int get() = idle + batches + transactions
}

/**
 * The connections that one VM holds to one member.
 *
 * Never more than the limit are open or opening, few open at the same time, and the connection used last is used next,
 * so that connections which the load does not need go idle and are closed. Batches always find room: transactions hold
 * at most what the member's slots leave over.
 *
 * Not safe for use by several threads at once. The caller opens and closes connections as the results say.
 *
 * @param connections connections that the member accepts in all.
 * @param slots statements that the member runs at the same time.
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
    private var noOpenBefore = Duration.ZERO
    private var givenUp = false

    /** Connections that the pool may hold now. */
    public val limit: Int get() = (minOf(share, connections) - policy.reservedForControl).coerceAtLeast(0)

    /** Transactions that may hold a connection at the same time now. */
    public val transactionLimit: Int get() = (limit - slots).coerceAtLeast(0)

    /** Connections by what they do. */
    public val counts: ConnectionCounts get() = ConnectionCounts(opening, idle.size, batches, transactions)

    /** Asks for a connection for [use]. */
    public fun acquire(use: ConnectionUse, now: Duration): Acquisition = when {
        givenUp -> Acquisition.GivenUp
        use == ConnectionUse.TRANSACTION && transactions >= transactionLimit -> Acquisition.TooManyTransactions
        idle.isNotEmpty() -> reuse(use)
        entries.size >= limit || opening >= policy.concurrentOpens -> Acquisition.Wait()
        now < noOpenBefore -> Acquisition.Wait(noOpenBefore - now)
        else -> open(use, now)
    }

    /** Notes that the connection was opened; it is in use. False where it is no longer wanted and is to be closed. */
    public fun opened(number: ConnectionNumber, now: Duration): Boolean {
        val entry = entry(number)
        check(entry.opening) { "connection $number is not opening" }
        entry.opening = false
        entry.openedAt = now
        entry.answeredAt = now
        opening--
        failedOpens = 0
        if (!givenUp) return true
        remove(entry)
        return false
    }

    /** Notes that the connection could not be opened. */
    public fun openFailed(number: ConnectionNumber, now: Duration) {
        val entry = entry(number)
        check(entry.opening) { "connection $number is not opening" }
        opening--
        remove(entry)
        val pause = policy.openBackoff * (1 shl minOf(failedOpens, GREATEST_DOUBLINGS))
        noOpenBefore = now + minOf(pause, policy.greatestOpenBackoff)
        failedOpens++
    }

    /**
     * Gives a connection back that is known [clean], or is to be closed where it is not. Returns the connections to
     * close.
     */
    public fun giveBack(number: ConnectionNumber, clean: Boolean, now: Duration): List<ConnectionNumber> {
        val entry = entry(number)
        check(!entry.opening && !entry.idle) { "connection $number is not in use" }
        val keep = clean && !givenUp && entries.size <= limit && now - entry.openedAt < policy.greatestAge
        if (!keep) {
            remove(entry)
            return listOf(number)
        }
        leaveUse(entry)
        entry.idle = true
        entry.answeredAt = now
        idle.addLast(entry)
        return emptyList()
    }

    /**
     * Drops a connection that stayed silent past its deadline, and with it the unused ones that have been quiet at
     * least as long: what lost track of one has probably lost track of them. Returns the connections to close.
     */
    public fun drop(number: ConnectionNumber): List<ConnectionNumber> {
        val silent = entry(number)
        check(!silent.opening && !silent.idle) { "connection $number is not in use" }
        remove(silent)
        return listOf(number) + closeIdle { it.answeredAt <= silent.answeredAt }
    }

    /** Sets how many of the member's connections this VM may hold, and returns the connections to close. */
    public fun changeShare(share: Int): List<ConnectionNumber> {
        this.share = share
        return closeExcess()
    }

    /** Returns the connections to close because they went unused for too long or are too old. */
    public fun trim(now: Duration): List<ConnectionNumber> = closeIdle {
        now - it.answeredAt >= policy.idleTimeout || now - it.openedAt >= policy.greatestAge
    }

    /** Gives the member up: nothing is taken any more. Returns the unused connections, which are to be closed. */
    public fun giveUp(): List<ConnectionNumber> {
        givenUp = true
        return closeIdle { true }
    }

    /** Takes the member up again after [giveUp]. */
    public fun takeUp() {
        givenUp = false
    }

    private fun reuse(use: ConnectionUse): Acquisition {
        val entry = idle.removeLast()
        entry.idle = false
        enterUse(entry, use)
        return Acquisition.Reuse(entry.number)
    }

    private fun open(use: ConnectionUse, now: Duration): Acquisition {
        val entry = Entry(ConnectionNumber(++lastNumber), use, now)
        entries[entry.number] = entry
        opening++
        enterUse(entry, use)
        return Acquisition.Open(entry.number)
    }

    private fun enterUse(entry: Entry, use: ConnectionUse) {
        entry.use = use
        if (use == ConnectionUse.BATCH) batches++ else transactions++
    }

    private fun leaveUse(entry: Entry) {
        if (entry.use == ConnectionUse.BATCH) batches-- else transactions--
    }

    private fun remove(entry: Entry) {
        if (!entry.idle) leaveUse(entry)
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
        var answeredAt = openedAt
    }

    private companion object {
        const val GREATEST_DOUBLINGS = 10
    }
}
