package dev.kumquatknot.core.member

import arrow.core.Either
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.outcome.Step
import kotlin.time.Duration

/** Role that a member plays in its group. */
public enum class MemberRole {
    PRIMARY,
    REPLICA,
}

/**
 * Status that a member reports about itself.
 *
 * @property acceptedTerm highest term accepted; the member rejects calls with a lower one.
 * @property lastEntry point of the last log entry that the member holds and that reads see.
 * @property primaryContactAge time since a replica last received data from the primary it follows; null at a primary.
 */
public data class MemberReport(
    val member: MemberName,
    val role: MemberRole,
    val acceptedTerm: Term,
    val lastEntry: HistoryPoint,
    val primaryContactAge: Duration?,
)

/** Proposal of [term] by [proposer]. A member accepts a term from one proposer only. */
public data class TermProposal(val term: Term, val proposer: VmName)

/** Failure of a call to a member. */
public sealed interface MemberFailure {
    /** The member that was called. */
    public val member: MemberName

    /** The step at which the call failed. */
    public val step: Step

    /** Text for logs and callers. */
    public val detail: String

    /** The call never reached the member, which therefore ran nothing. */
    public data class Unreachable(
        override val member: MemberName,
        override val step: Step,
        override val detail: String,
    ) : MemberFailure

    /** The member has no free connection; it ran nothing. */
    public data class TooManyConnections(override val member: MemberName, override val detail: String) : MemberFailure {
        override val step: Step = Step.CONNECT
    }

    /** The member has accepted [acceptedTerm], which is higher than the term of the call; it ran nothing. */
    public data class LowerTerm(
        override val member: MemberName,
        override val step: Step,
        val acceptedTerm: Term,
    ) : MemberFailure {
        override val detail: String get() = "member $member has accepted term $acceptedTerm"
    }

    /** The member is a replica and rejected a change; it ran nothing. */
    public data class NotPrimary(
        override val member: MemberName,
        override val step: Step,
        val acceptedTerm: Term,
    ) : MemberFailure {
        override val detail: String get() = "member $member is not a primary"
    }

    /** A statement failed and its transaction was rolled back. */
    public data class StatementFailed(
        override val member: MemberName,
        val sqlState: String,
        override val detail: String,
    ) : MemberFailure {
        override val step: Step = Step.EXECUTE
    }

    /** No answer came after the call had been sent; whether it ran is unknown. */
    public data class NoAnswer(
        override val member: MemberName,
        override val step: Step,
        override val detail: String,
    ) : MemberFailure
}

/** One open connection to a member. Used by one thread at a time, except for [close]. */
public interface MemberConnection {
    /** Runs [batch], waiting at most [timeout] for its answer. Unusable after [MemberFailure.NoAnswer]. */
    public fun run(batch: StatementBatch, timeout: Duration): Either<MemberFailure, BatchReply>

    /**
     * Closes the connection; an open transaction is rolled back by the member. Never blocks. Any thread may call it; a
     * [run] that is waiting for its answer then ends with [MemberFailure.NoAnswer].
     */
    public fun close()
}

/** Opens a connection within the given time. */
public typealias ConnectMember = (timeout: Duration) -> Either<MemberFailure, MemberConnection>

/** Asks a member for its report, over a control connection that is opened on demand. */
public typealias ReportMember = (timeout: Duration) -> Either<MemberFailure, MemberReport>

/** Asks a member to accept a term; it then rejects calls with lower terms and confirms nothing in them. */
public typealias AcceptTerm = (proposal: TermProposal, timeout: Duration) -> Either<MemberFailure, MemberReport>

/** Promotes a member that has accepted [TermProposal.term] from the same proposer to the primary of that term. */
public typealias PromoteMember = (proposal: TermProposal, timeout: Duration) -> Either<MemberFailure, MemberReport>

/**
 * Makes a member follow [primary] in [term]. The member discards entries that the primary's log lacks. Idempotent;
 * rejected when the member has accepted a higher term.
 */
public typealias FollowPrimary =
    (term: Term, primary: MemberName, timeout: Duration) -> Either<MemberFailure, MemberReport>

/** Port of the proxy to one member: all calls that it makes to the member's backend server. */
public class MemberPort(
    public val member: MemberName,
    public val connect: ConnectMember,
    public val report: ReportMember,
    public val acceptTerm: AcceptTerm,
    public val promote: PromoteMember,
    public val follow: FollowPrimary,
)
