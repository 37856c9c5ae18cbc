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
 * What a member says about itself.
 *
 * @property acceptedTerm highest term accepted; the member rejects whatever carries a lower one.
 * @property lastEntry point of the last log entry that the member holds and shows to readers.
 * @property primaryContactAge time since a replica last heard from the primary it follows; null at a primary.
 */
public data class MemberReport(
    val member: MemberName,
    val role: MemberRole,
    val acceptedTerm: Term,
    val lastEntry: HistoryPoint,
    val primaryContactAge: Duration?,
)

/** Bid of [proposer] for [term]. A member accepts a term once, from one proposer. */
public data class TermProposal(val term: Term, val proposer: VmName)

/** Failure of a call to a member. */
public sealed interface MemberFailure {
    /** The member at which it arose. */
    public val member: MemberName

    /** The step at which it arose. */
    public val step: Step

    /** Text for logs and callers. */
    public val detail: String

    /** The call never reached the member, which therefore ran nothing. */
    public data class Unreachable(
        override val member: MemberName,
        override val step: Step,
        override val detail: String,
    ) : MemberFailure

    /** The member has no connection to spare; it ran nothing. */
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

    /** The member is a replica and runs no change; it ran nothing. */
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

/** One open connection to a member. Used by one thread at a time, but for [close]. */
public interface MemberConnection {
    /** Runs [batch] and waits for its answer at most [timeout]. After [MemberFailure.NoAnswer] it is of no more use. */
    public fun run(batch: StatementBatch, timeout: Duration): Either<MemberFailure, BatchReply>

    /**
     * Closes the connection; an open transaction is rolled back by the member. Never waits. Any thread may call it; a
     * [run] that waits for its answer then ends with [MemberFailure.NoAnswer].
     */
    public fun close()
}

/** Opens a connection within the given time. */
public typealias ConnectMember = (timeout: Duration) -> Either<MemberFailure, MemberConnection>

/** Asks a member for its report, over a control connection that is opened as needed. */
public typealias ReportMember = (timeout: Duration) -> Either<MemberFailure, MemberReport>

/** Asks a member to accept a term: it then rejects lower ones and confirms nothing in them. */
public typealias AcceptTerm = (proposal: TermProposal, timeout: Duration) -> Either<MemberFailure, MemberReport>

/** Makes a member that has accepted [TermProposal.term] of the same proposer the primary in it. */
public typealias PromoteMember = (proposal: TermProposal, timeout: Duration) -> Either<MemberFailure, MemberReport>

/**
 * Makes a member follow [primary] in [term]. It discards the entries that the primary's history lacks. Idempotent;
 * rejected when the member has accepted a higher term.
 */
public typealias FollowPrimary =
    (term: Term, primary: MemberName, timeout: Duration) -> Either<MemberFailure, MemberReport>

/** The database side of the proxy: everything it asks of one member. */
public class MemberPort(
    public val member: MemberName,
    public val connect: ConnectMember,
    public val report: ReportMember,
    public val acceptTerm: AcceptTerm,
    public val promote: PromoteMember,
    public val follow: FollowPrimary,
)
