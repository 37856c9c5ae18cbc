package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration

/**
 * Which member of one group leads, as far as this VM knows. Only what a member proved counts as knowledge; what members
 * claim in discovery is a hint for the time without any. Of two proofs the one that was asked for later counts.
 *
 * Confined to one thread.
 */
public class PrimaryTracker {
    private var proved: MemberName? = null
    private var decidedAt = -Duration.INFINITE
    private var claimed: MemberName? = null
    private var last: MemberName? = null

    /** The member to send writes to; null where there is no sign of one. */
    public val primary: MemberName? get() = proved ?: claimed

    /** Whether the lead of [primary] was proved and not disproved since. */
    public val isProved: Boolean get() = proved != null

    /** Notes that [member] acted as primary when asked at [askedAt]; tells whether another one led before. */
    public fun prove(member: MemberName, askedAt: Duration): Boolean {
        if (proved != member && askedAt < decidedAt) return false
        decidedAt = maxOf(decidedAt, askedAt)
        proved = member
        return (last != member).also { last = member }
    }

    /** Notes that [member] refused to act as primary when asked at [askedAt]; tells whether that changed the belief. */
    public fun disprove(member: MemberName, askedAt: Duration): Boolean {
        if (claimed == member) claimed = null
        if (proved != member || askedAt < decidedAt) return false
        decidedAt = askedAt
        proved = null
        return true
    }

    /** Notes that discovery names [member] as one that calls itself primary, or none. */
    public fun claim(member: MemberName?) {
        claimed = member
    }
}
