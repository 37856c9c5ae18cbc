package dev.kumquatknot.standin.database

import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.TermProposal

/** Decision of [TermState] on a control call. */
internal enum class TermDecision {
    ACCEPTED,
    UNCHANGED,

    /** A higher term, or the same one from another proposer, has been accepted. */
    SUPERSEDED,

    /** The term has not been accepted before. */
    NOT_ACCEPTED,
}

/** Term state of one member: accepted term, its proposer, and the role. Guarded by the member's lock. */
internal class TermState {
    var acceptedTerm: Term = Term(0)
        private set
    var role: MemberRole = MemberRole.REPLICA
        private set

    /** Primary that this replica pulls from in [acceptedTerm]; null from the acceptance of a term until [follow]. */
    var followedPrimary: MemberName? = null
        private set
    private var proposer: VmName? = null

    fun accept(proposal: TermProposal): TermDecision = when {
        proposal.term > acceptedTerm -> {
            adoptTerm(proposal.term, proposal.proposer)
            TermDecision.ACCEPTED
        }
        proposal.term == acceptedTerm && proposal.proposer == proposer -> TermDecision.UNCHANGED
        else -> TermDecision.SUPERSEDED
    }

    fun promote(proposal: TermProposal): TermDecision = when {
        proposal.term > acceptedTerm -> TermDecision.NOT_ACCEPTED
        proposal.term < acceptedTerm || proposal.proposer != proposer || followedPrimary != null ->
            TermDecision.SUPERSEDED
        role == MemberRole.PRIMARY -> TermDecision.UNCHANGED
        else -> {
            role = MemberRole.PRIMARY
            TermDecision.ACCEPTED
        }
    }

    fun follow(term: Term, primary: MemberName): TermDecision = when {
        term < acceptedTerm || (term == acceptedTerm && role == MemberRole.PRIMARY) -> TermDecision.SUPERSEDED
        term == acceptedTerm && followedPrimary == primary -> TermDecision.UNCHANGED
        term == acceptedTerm && followedPrimary != null -> TermDecision.SUPERSEDED
        else -> {
            if (term > acceptedTerm) adoptTerm(term, null)
            followedPrimary = primary
            TermDecision.ACCEPTED
        }
    }

    /** Whether changes in [term] may run and commit on this member. */
    fun acceptsChanges(term: Term): Boolean = role == MemberRole.PRIMARY && term == acceptedTerm

    private fun adoptTerm(term: Term, proposedBy: VmName?) {
        acceptedTerm = term
        proposer = proposedBy
        role = MemberRole.REPLICA
        followedPrimary = null
    }
}
