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

/** An open interactive transaction, bound to one connection of one member and to one term. */
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
    /** Held by the request that uses the transaction at the moment. */
    val lock = ReentrantLock()

    @Volatile
    var lastUsedAt: Duration = startedAt

    /** Whether a statement was sent, so that a transaction is open at the member. Guarded by [lock]. */
    var begun: Boolean = false
}

/**
 * Interactive transactions whose connections this VM holds. Transactions that are idle or open for too long are rolled
 * back, so that they don't occupy connections and locks of the member.
 *
 * Lock order: the lock of a transaction, then the locks of its member's gateway.
 */
internal class TransactionTable(
    private val clock: Clock,
    private val firstNumber: Long = 1,
    private val onExpired: (OpenTransaction) -> Unit,
) {
    private val open = ConcurrentHashMap<Long, OpenTransaction>()
    private val numbers = AtomicLong(firstNumber - 1)
    private val committed = CommittedNumbers()

    /** Number of open transactions, in use or idle. */
    val size: Int get() = open.size

    /** Returns the number for the next transaction, never used before by this table. */
    fun nextNumber(): Long = numbers.incrementAndGet()

    /** Registers an open transaction under its number. */
    fun add(transaction: OpenTransaction) {
        open[transaction.number] = transaction
    }

    /** Returns the open transaction [number] of [team] in [database], or null if there is none. */
    fun find(number: Long, team: TeamName, database: DatabaseName): OpenTransaction? =
        open[number]?.takeIf { it.team == team && it.database == database }

    /** Records that a commit of the transaction [number] has or may have taken effect. */
    fun recordCommit(number: Long) = committed.add(number)

    /** Returns false only if the transaction [number], which is no longer open, has certainly not committed. */
    fun mayHaveCommitted(number: Long): Boolean =
        number < firstNumber || number > numbers.get() || committed.mayContain(number)

    /** Removes a transaction; returns false if it had been removed before. */
    fun remove(transaction: OpenTransaction): Boolean = open.remove(transaction.number, transaction)

    /** Rolls back the transactions that exceed a timeout, except those that a request is using at the moment. */
    fun expire() {
        val now = clock.elapsed()
        open.values.filter { it.isExpired(now) }.forEach { endIfUnused(it) }
    }

    private fun OpenTransaction.isExpired(now: Duration): Boolean =
        now - lastUsedAt >= IDLE_TIMEOUT || now - startedAt >= TOTAL_TIMEOUT

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
        /** Longest time between two requests of a transaction. */
        val IDLE_TIMEOUT: Duration = 5.seconds

        /** Longest time for which a transaction may stay open. */
        val TOTAL_TIMEOUT: Duration = 60.seconds
    }
}
