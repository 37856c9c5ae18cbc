package dev.kumquatknot.proxy.transaction

import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.member.PinnedConnection
import dev.kumquatknot.proxy.work.MemberHost
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** An interactive transaction that is open on one connection of one member in one term. */
internal class OpenTransaction(
    val number: Long,
    val team: TeamName,
    val database: DatabaseName,
    val kind: KindConfiguration,
    val host: MemberHost,
    val term: Term,
    val connection: PinnedConnection,
    val startedAt: Duration,
) {
    /** Held by the one request that uses the transaction. */
    val lock = ReentrantLock()

    @Volatile
    var lastUsedAt: Duration = startedAt

    /** Whether a statement has been sent, so that the member has a transaction to end. Guarded by [lock]. */
    var begun: Boolean = false
}

/**
 * The interactive transactions whose connections this VM holds. Transactions that idle or last too long are ended, so
 * that they keep neither connections nor locks of the member.
 *
 * Lock order: the lock of one transaction, then those of its member's gateway.
 */
internal class TransactionTable(
    private val clock: Clock,
    private val firstNumber: Long = 1,
    private val onExpired: (OpenTransaction) -> Unit,
) {
    private val open = ConcurrentHashMap<Long, OpenTransaction>()
    private val numbers = AtomicLong(firstNumber - 1)
    private val committed = CommittedNumbers()

    /** Number of open transactions. */
    val size: Int get() = open.size

    /** Returns a number for a new transaction. */
    fun nextNumber(): Long = numbers.incrementAndGet()

    /** Adds a transaction. */
    fun add(transaction: OpenTransaction) {
        open[transaction.number] = transaction
    }

    /** Returns the transaction [number] of [team] in [database], or null where it has ended or never was. */
    fun find(number: Long, team: TeamName, database: DatabaseName): OpenTransaction? =
        open[number]?.takeIf { it.team == team && it.database == database }

    /** Notes that a commit of the transaction [number] took effect or may have. */
    fun recordCommit(number: Long) = committed.add(number)

    /** Whether the transaction [number], which is not open, may have committed; false is a proof. */
    fun mayHaveCommitted(number: Long): Boolean =
        number < firstNumber || number > numbers.get() || committed.mayContain(number)

    /** Removes a transaction; tells whether it was still there. */
    fun remove(transaction: OpenTransaction): Boolean = open.remove(transaction.number, transaction)

    /** Ends the transactions that have idled or lasted too long and are not in use at this moment. */
    fun expire() {
        val now = clock.elapsed()
        open.values.filter { it.isOverdue(now) }.forEach { endIfUnused(it) }
    }

    private fun OpenTransaction.isOverdue(now: Duration): Boolean =
        now - lastUsedAt >= IDLE_LIMIT || now - startedAt >= TOTAL_LIMIT

    private fun endIfUnused(transaction: OpenTransaction) {
        if (!transaction.lock.tryLock()) return
        try {
            if (!remove(transaction)) return
            transaction.connection.release(clean = false)
            onExpired(transaction)
        } finally {
            transaction.lock.unlock()
        }
    }

    companion object {
        /** Longest time between two statements of a transaction. */
        val IDLE_LIMIT: Duration = 5.seconds

        /** Longest time that a transaction may take. */
        val TOTAL_LIMIT: Duration = 60.seconds
    }
}
