package dev.kumquatknot.standin.database

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.TermProposal
import dev.kumquatknot.core.outcome.Step
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** An open transaction: its engine session, and the history point of its snapshot. */
internal class OpenTransaction(val session: SqlSession, val point: HistoryPoint) {
    val changes: MutableList<Statement> = mutableListOf()
    var changedSchema: Boolean = false
    var writing: Boolean = false
}

/** State that a replica sends to its primary when it requests log entries. */
internal class ReplicaState(val term: Term, val primary: MemberName, val spans: List<TermSpan>)

/** Log entries of the primary after [commonPosition], the last position at which its log and the replica's agree. */
internal class LogPage(val commonPosition: Long, val entries: List<LogEntry>)

/**
 * One member of a database group: its term state, its log and its SQL engine.
 *
 * Lock order: [writeLock], then [slots], then the member's own lock, then the lock of the fault switches. A log entry
 * and its effect in the engine become visible together, under the member's own lock.
 */
internal class GroupMember(
    val configuration: MemberConfiguration,
    val faults: FaultSwitches,
    private val runtime: GroupRuntime,
    private val createEngine: () -> SqlEngine,
    private val onAppend: () -> Unit,
) : AutoCloseable {
    val name: MemberName = configuration.name
    val writeLock: Semaphore = Semaphore(1, true)
    val slots: Semaphore = Semaphore(configuration.slots, true)

    private val lock = ReentrantLock()
    private val terms = TermState()
    private val log = MemberLog()
    private var engine = createEngine()
    private var applier = engine.open()
    private var lastContact = runtime.clock.elapsed()

    fun report(): MemberReport = lock.withLock {
        val contactAge = if (terms.role == MemberRole.PRIMARY) null else runtime.clock.elapsed() - lastContact
        MemberReport(name, terms.role, terms.acceptedTerm, log.lastPoint, contactAge)
    }

    fun acceptTerm(proposal: TermProposal): Either<MemberFailure, MemberReport> =
        reportAfter {
            terms.accept(proposal).also {
                if (it ==
                    TermDecision.ACCEPTED
                ) {
                    lastContact = runtime.clock.elapsed()
                }
            }
        }

    fun promote(proposal: TermProposal): Either<MemberFailure, MemberReport> = reportAfter {
        terms.promote(proposal).also { if (it == TermDecision.ACCEPTED) append(proposal.term, emptyList()) }
    }

    fun follow(term: Term, primary: MemberName): Either<MemberFailure, MemberReport> {
        if (primary == name) return lock.withLock { if (terms.acceptsChanges(term)) report().right() else notPrimary() }
        return reportAfter { terms.follow(term, primary) }
    }

    /** Returns the reason to reject a batch in [term], or null if it may run. */
    fun rejection(term: Term, changes: Boolean, step: Step): MemberFailure? = lock.withLock {
        when {
            terms.acceptedTerm > term -> MemberFailure.LowerTerm(name, step, terms.acceptedTerm)
            changes && !terms.acceptsChanges(term) -> MemberFailure.NotPrimary(name, step, terms.acceptedTerm)
            else -> null
        }
    }

    /** Starts a transaction in [session], or in a new one if the engine has been replaced since. */
    fun begin(session: SqlSession?): Either<SqlFailure, OpenTransaction> = lock.withLock {
        val sql = if (session?.engine === engine) session else engine.open()
        sql.begin().map { OpenTransaction(sql, log.lastPoint) }
    }

    /** Whether the snapshot of [transaction] is still the newest, so that the transaction may start to write. */
    fun isCurrent(transaction: OpenTransaction): Boolean = lock.withLock { log.lastPoint == transaction.point }

    /** Commits [transaction] in [term] if [allowed] holds under the lock, and returns its history point. */
    fun commit(transaction: OpenTransaction, term: Term, allowed: () -> Boolean): Either<MemberFailure, HistoryPoint> =
        lock.withLock {
            val rejected = if (allowed()) rejection(term, transaction.writing, Step.COMMIT) else connectionLost()
            if (rejected != null) return rejected.left()
            transaction.session.commit()
                .mapLeft { MemberFailure.StatementFailed(name, it.sqlState, it.detail) }
                .map { if (transaction.changes.isEmpty()) transaction.point else append(term, transaction.changes) }
        }

    /**
     * Replaces the engine by a new one and replays the log into it: after entries were removed from the log, or a
     * change of the schema, which the engine commits at once, was rolled back. The caller holds the write lock.
     */
    fun rebuildEngine(): Unit = lock.withLock {
        engine.close()
        engine = createEngine()
        applier = engine.open()
        log.allEntries.forEach { applyToEngine(it) }
    }

    fun replicaState(): ReplicaState? = lock.withLock {
        terms.followedPrimary?.let { ReplicaState(terms.acceptedTerm, it, log.termSpans()) }
    }

    /** Returns the entries that [replica] lacks, or null if this member isn't the primary of that term. */
    fun page(replica: ReplicaState): LogPage? = lock.withLock {
        if (!terms.acceptsChanges(replica.term)) return null
        val common = log.commonPosition(replica.spans)
        LogPage(common, log.entriesAfter(common))
    }

    /**
     * Applies the entries of [page] while this member is still in the term and follows the primary of [replica].
     * Returns the number of applied entries; 0 if the write lock isn't free within its timeout.
     */
    fun applyPage(replica: ReplicaState, page: LogPage): Int {
        val waitMillis = runtime.timing.lockTimeoutMillis
        if (!writeLock.tryAcquire(waitMillis, TimeUnit.MILLISECONDS)) return 0
        try {
            if (!truncateToCommonPosition(replica, page.commonPosition)) return 0
            return page.entries.takeWhile { applyFrom(replica, it) }.size
        } finally {
            writeLock.release()
        }
    }

    /** Runs [action] while no transaction can commit. */
    fun <T> withoutCommits(action: () -> T): T = lock.withLock(action)

    override fun close(): Unit = lock.withLock { engine.close() }

    private fun truncateToCommonPosition(replica: ReplicaState, commonPosition: Long): Boolean = lock.withLock {
        if (!follows(replica)) return false
        lastContact = runtime.clock.elapsed()
        if (log.truncateAfter(commonPosition)) rebuildEngine()
        true
    }

    private fun applyFrom(replica: ReplicaState, entry: LogEntry): Boolean = lock.withLock {
        if (!follows(replica)) return false
        applyToEngine(entry)
        log.append(entry)
        true
    }

    private fun follows(replica: ReplicaState) =
        terms.acceptedTerm == replica.term && terms.followedPrimary == replica.primary

    private fun applyToEngine(entry: LogEntry) {
        if (entry.changes.isEmpty()) return
        applier.begin()
            .flatMap { runChanges(entry) }
            .flatMap { applier.commit() }
            .onLeft { error("$name can't apply log entry ${entry.point}: ${it.sqlState} ${it.detail}") }
    }

    private fun runChanges(entry: LogEntry): Either<SqlFailure, Unit> {
        entry.changes.forEach { change -> applier.run(change, readOnly = false).onLeft { return it.left() } }
        return Unit.right()
    }

    private fun append(term: Term, changes: List<Statement>): HistoryPoint {
        val entry = LogEntry(log.nextPoint(term), changes.toList(), runtime.clock.elapsed())
        log.append(entry)
        onAppend()
        return entry.point
    }

    private fun reportAfter(decision: () -> TermDecision): Either<MemberFailure, MemberReport> = lock.withLock {
        when (decision()) {
            TermDecision.ACCEPTED, TermDecision.UNCHANGED -> report().right()
            TermDecision.SUPERSEDED -> MemberFailure.LowerTerm(name, Step.PROMOTE, terms.acceptedTerm).left()
            TermDecision.NOT_ACCEPTED -> notPrimary()
        }
    }

    private fun notPrimary() = MemberFailure.NotPrimary(name, Step.PROMOTE, terms.acceptedTerm).left()

    private fun connectionLost() = MemberFailure.NoAnswer(name, Step.COMMIT, "the connection is lost")
}
