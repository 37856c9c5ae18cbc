package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration

/**
 * Tracks which member of one group is the primary. A member proves it by answering as the primary does; what members
 * claim in discovery is used only while there is no proof. Of two proofs the one whose request was sent later counts.
 *
 * Confined to one thread.
 */
public class PrimaryTracker {
    private var proved: MemberName? = null
    private var lastEvidenceAt = -Duration.INFINITE
    private var claimed: MemberName? = null
    private var lastProved: MemberName? = null

    /** The member to send writes to; null where none has proved or claimed to be the primary. */
    public val primary: MemberName? get() = proved ?: claimed

    /** Whether [primary] has proved that it is the primary and has not been disproved since. */
    public val isProved: Boolean get() = proved != null

    /** Whether a member had proved that it is the primary and refused to act as such later. */
    public val isDisproved: Boolean get() = proved == null && lastProved != null

    /** Records that [member] acted as primary on a request sent at [sentAt]; returns whether the primary changed. */
    public fun prove(member: MemberName, sentAt: Duration): Boolean {
        if (proved != member && sentAt < lastEvidenceAt) return false
        lastEvidenceAt = maxOf(lastEvidenceAt, sentAt)
        proved = member
        return (lastProved != member).also { lastProved = member }
    }

    /** Records that [member] refused to act as primary on a request sent at [sentAt]; returns whether it was proved. */
    public fun disprove(member: MemberName, sentAt: Duration): Boolean {
        if (claimed == member) claimed = null
        if (proved != member || sentAt < lastEvidenceAt) return false
        lastEvidenceAt = sentAt
        proved = null
        return true
    }

    /**
     * Prefers what members claim in discovery over a proof that nobody has renewed for a while. Without a claim, the
     * proof stays.
     */
    public fun preferClaim() {
        if (claimed != null && claimed != proved) proved = null
    }

    /** Records the [member] that claims to be the primary in discovery, or null where none does. */
    public fun claim(member: MemberName?) {
        claimed = member
    }
}
