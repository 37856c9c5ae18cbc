package dev.kumquatknot.standin.database

import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.TermProposal

/** Answer of a member's term rules to a control call. */
internal enum class TermDecision {
    ACCEPTED,
    UNCHANGED,

    /** A higher term, or the same one from another proposer, has been accepted. */
    SUPERSEDED,

    /** The term has not been accepted before. */
    NOT_ACCEPTED,
}

/** The term rules of one member: what it accepted, from whom, and its role. Guarded by its member's lock. */
internal class TermState {
    var acceptedTerm: Term = Term(0)
        private set
    var role: MemberRole = MemberRole.REPLICA
        private set

    /** The primary that this replica pulls from, in [acceptedTerm]; null from the acceptance of a term until follow. */
    var followed: MemberName? = null
        private set
    private var proposer: VmName? = null

    fun accept(proposal: TermProposal): TermDecision = when {
        proposal.term > acceptedTerm -> {
            enter(proposal.term, proposal.proposer)
            TermDecision.ACCEPTED
        }
        proposal.term == acceptedTerm && proposal.proposer == proposer -> TermDecision.UNCHANGED
        else -> TermDecision.SUPERSEDED
    }

    fun promote(proposal: TermProposal): TermDecision = when {
        proposal.term > acceptedTerm -> TermDecision.NOT_ACCEPTED
        proposal.term < acceptedTerm || proposal.proposer != proposer || followed != null -> TermDecision.SUPERSEDED
        role == MemberRole.PRIMARY -> TermDecision.UNCHANGED
        else -> {
            role = MemberRole.PRIMARY
            TermDecision.ACCEPTED
        }
    }

    fun follow(term: Term, primary: MemberName): TermDecision = when {
        term < acceptedTerm || (term == acceptedTerm && role == MemberRole.PRIMARY) -> TermDecision.SUPERSEDED
        term == acceptedTerm && followed == primary -> TermDecision.UNCHANGED
        term == acceptedTerm && followed != null -> TermDecision.SUPERSEDED
        else -> {
            if (term > acceptedTerm) enter(term, null)
            followed = primary
            TermDecision.ACCEPTED
        }
    }

    /** Tells whether changes in [term] may run and commit here. */
    fun servesChanges(term: Term): Boolean = role == MemberRole.PRIMARY && term == acceptedTerm

    private fun enter(term: Term, by: VmName?) {
        acceptedTerm = term
        proposer = by
        role = MemberRole.REPLICA
        followed = null
    }
}
