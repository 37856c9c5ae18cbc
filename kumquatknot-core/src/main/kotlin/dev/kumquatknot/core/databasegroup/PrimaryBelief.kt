package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.identity.MemberName

/**
 * Which member of one group leads, as far as this VM knows. Only what a member proved counts as knowledge; what members
 * claim in discovery is a hint for the time without any.
 *
 * Confined to one thread.
 */
public class PrimaryBelief {
    private var proved: Lead? = null
    private var claimed: MemberName? = null

    /** The member to send writes to; null where there is no sign of one. */
    public val primary: MemberName? get() = proved?.member ?: claimed

    /** Highest term in which a lead was proved. */
    public val term: Term get() = highest

    private var highest = Term(0)

    /** Whether the lead of [primary] was proved and not disproved since. */
    public val isProved: Boolean get() = proved != null

    /** Notes that [member] acted as primary in [term]; tells whether that changed the belief. */
    public fun prove(member: MemberName, term: Term): Boolean {
        if (term < highest) return false
        val next = Lead(member, term)
        if (proved == next) return false
        highest = term
        val changed = proved?.member != member
        proved = next
        return changed
    }

    /** Notes that [member] refused to act as primary; tells whether that changed the belief. */
    public fun disprove(member: MemberName): Boolean {
        if (claimed == member) claimed = null
        if (proved?.member != member) return false
        proved = null
        return true
    }

    /** Notes that discovery names [member] as one that calls itself primary, or none. */
    public fun claim(member: MemberName?) {
        claimed = member
    }

    private data class Lead(val member: MemberName, val term: Term)
}
