package dev.kumquatknot.core.databasegroup

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.TermProposal
import dev.kumquatknot.core.outcome.Step
import kotlin.time.Duration

/** A log up to and including one entry; [write] is null for the entry with which a primary starts its term. */
class FakeLog(private val previous: FakeLog?, val term: Term, val write: Int?) {
    val size: Int = (previous?.size ?: 0) + 1

    fun upTo(wanted: Int): FakeLog? = generateSequence(this) { it.previous }.firstOrNull { it.size <= wanted }

    fun writes(): Set<Int> = generateSequence(this) { it.previous }.mapNotNull { it.write }.toSet()

    /** The longest common prefix of this log and [other]. */
    fun commonPrefix(other: FakeLog): FakeLog? = generateSequence(upTo(other.size)) { it.previous }
        .firstOrNull { it === other.upTo(it.size) }
}

/** A fake member with the semantics of a database group: terms, a log and asynchronous replication. */
class FakeMember(val name: MemberName) {
    var role = MemberRole.REPLICA
        private set
    var acceptedTerm = Term(0)
        private set
    var log: FakeLog? = null
        private set
    private var proposer: VmName? = null
    private var following: MemberName? = null
    private var contactAt: Duration? = null

    val lastEntry: HistoryPoint
        get() = log?.let { HistoryPoint(it.term, LogPosition(it.size.toLong())) } ?: HistoryPoint.START

    fun report(now: Duration): MemberReport {
        val age = if (role == MemberRole.PRIMARY) null else contactAt?.let { now - it }
        return MemberReport(name, role, acceptedTerm, lastEntry, age)
    }

    fun accept(proposal: TermProposal, now: Duration): Either<MemberFailure, MemberReport> {
        val isRepeated = proposal.term == acceptedTerm && proposal.proposer == proposer
        if (proposal.term <= acceptedTerm && !isRepeated) return lowerTerm()
        if (!isRepeated) {
            acceptedTerm = proposal.term
            proposer = proposal.proposer
            role = MemberRole.REPLICA
            following = null
        }
        return report(now).right()
    }

    fun promote(proposal: TermProposal, now: Duration): Either<MemberFailure, MemberReport> {
        if (proposal.term != acceptedTerm || proposal.proposer != proposer) return lowerTerm()
        if (role != MemberRole.PRIMARY) {
            role = MemberRole.PRIMARY
            log = FakeLog(log, acceptedTerm, null)
        }
        return report(now).right()
    }

    fun follow(term: Term, primary: MemberName, now: Duration): Either<MemberFailure, MemberReport> {
        if (term < acceptedTerm || primary == name) return lowerTerm()
        if (term > acceptedTerm) {
            acceptedTerm = term
            proposer = null
        }
        role = MemberRole.REPLICA
        following = primary
        return report(now).right()
    }

    fun write(term: Term, write: Int): HistoryPoint? {
        if (role != MemberRole.PRIMARY || term != acceptedTerm) return null
        log = FakeLog(log, term, write)
        return lastEntry
    }

    /** Copies the primary's [entries] unless the log has them; records contact with the primary in either case. */
    fun replicate(term: Term, primary: MemberName, entries: FakeLog?, now: Duration) {
        if (term != acceptedTerm || following != primary) return
        contactAt = now
        if (entries != null && log?.upTo(entries.size) !== entries) log = entries
    }

    /** Restarts the process: log and term survive, but it is a replica that follows no primary. */
    fun restart() {
        role = MemberRole.REPLICA
        following = null
    }

    private fun lowerTerm() = MemberFailure.LowerTerm(name, Step.PROMOTE, acceptedTerm).left()
}
