package dev.kumquatknot.core.databasegroup

import arrow.core.Either
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.TermProposal
import kotlin.time.Duration

/** Answer of a member to a call of its runner, or its failure. */
public typealias MemberAnswer = Either<MemberFailure, MemberReport>

/** What a [GroupCoordinator] hears. Times are those of the VM's monotonic clock. */
public sealed interface GroupEvent {
    /** A report call that was sent at [sentAt] ended at [endedAt]. */
    public data class ReportAnswered(
        val member: MemberName,
        val sentAt: Duration,
        val endedAt: Duration,
        val answer: MemberAnswer,
    ) : GroupEvent

    /** Other VMs have said when they last heard [primary]. */
    public data class ContactReportsReceived(val primary: MemberName, val reports: List<MemberContactReport>) : GroupEvent

    /** A call that asked [member] to accept [proposal] ended. */
    public data class AcceptAnswered(
        val proposal: TermProposal,
        val member: MemberName,
        val sentAt: Duration,
        val answer: MemberAnswer,
    ) : GroupEvent

    /** A call that promoted [member] by [proposal] ended. */
    public data class PromoteAnswered(
        val proposal: TermProposal,
        val member: MemberName,
        val sentAt: Duration,
        val answer: MemberAnswer,
    ) : GroupEvent

    /** A call that made [member] follow the primary ended. */
    public data class FollowAnswered(val member: MemberName, val sentAt: Duration, val answer: MemberAnswer) :
        GroupEvent

    /** Another VM has formed [view]. */
    public data class PeerViewReceived(val view: GroupView) : GroupEvent

    /** Time has passed, or a read or write has begun to wait. */
    public data object Tick : GroupEvent
}

/** What a [GroupCoordinator] asks its runner to do. Every call is answered by one event. */
public sealed interface GroupEffect {
    /** Asks [member] for its report. */
    public data class Probe(val member: MemberName) : GroupEffect

    /** Asks other VMs when they last heard [primary]. */
    public data class AskVantage(val primary: MemberName) : GroupEffect

    /** Asks [member] to accept [proposal]. */
    public data class Accept(val proposal: TermProposal, val member: MemberName) : GroupEffect

    /** Makes [member] the primary in the term of [proposal]. */
    public data class Promote(val proposal: TermProposal, val member: MemberName) : GroupEffect

    /** Makes [member] follow [primary] in [term]. */
    public data class Follow(val term: Term, val primary: MemberName, val member: MemberName) : GroupEffect

    /** Tells listeners that the term or the primary has changed. */
    public data class ViewChanged(val view: GroupView) : GroupEffect

    /** Publishes, as far as possible, a primary that this VM has promoted for [reason]. */
    public data class PublishPromotion(val view: GroupView, val reason: LossReason) : GroupEffect
}
