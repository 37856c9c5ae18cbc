package dev.kumquatknot.core.limit

import dev.kumquatknot.core.identity.VmName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Which third of this VM's entitlement is delegated to which limiter, and until when. A third goes to another limiter,
 * or is used by this VM itself, only after its former delegation has lapsed.
 *
 * @param startedAt start of this process. It has no entitlement until the delegations of its predecessor have lapsed.
 */
public class Delegations(startedAt: Duration) {
    private val entitledFrom = startedAt + LAPSE_AT_SENDER
    private val thirds = List(THIRDS) { Third() }

    /** The limiters to which the thirds go, without duplicates. */
    public val limiters: List<VmName> get() = thirds.mapNotNull { it.limiter }.distinct()

    /** Time at which the entitlement of this process begins. */
    public val beginning: Duration get() = entitledFrom

    /**
     * Directs the thirds to the [wanted] limiters, as far as they are free; the others follow when they have lapsed.
     * Returns whether a limiter has changed.
     */
    public fun direct(now: Duration, wanted: List<VmName>): Boolean {
        val before = limiters
        val missing = wanted.takeIf { it.isNotEmpty() }?.let { list -> MutableList(THIRDS) { list[it % list.size] } }
            ?: mutableListOf()
        thirds.forEach { it.isWanted = it.limiter != null && missing.remove(it.limiter) }
        thirds.filter { !it.isWanted && it.until <= now }.forEach {
            it.limiter = missing.removeFirstOrNull()
            it.isWanted = it.limiter != null
        }
        return limiters != before
    }

    /** Whether this process may use or delegate its entitlement. */
    public fun isEntitled(now: Duration): Boolean = now >= entitledFrom

    /**
     * Counts the thirds that stay directed to [limiter] as delegated, as a report with an echo is sent now; returns
     * their number.
     */
    public fun delegate(now: Duration, limiter: VmName): Int {
        if (!isEntitled(now)) return 0
        val directed = thirds.filter { it.isWanted && it.limiter == limiter }
        directed.forEach { it.until = now + LAPSE_AT_SENDER }
        return directed.size
    }

    /** Whether a third that is directed to [limiter] is not delegated, though it could be. */
    public fun hasLapsed(now: Duration, limiter: VmName): Boolean =
        isEntitled(now) && thirds.any { it.isWanted && it.limiter == limiter && it.until <= now }

    /** Returns the share of its entitlement that this VM may use itself. */
    public fun ownShare(now: Duration): Double =
        if (isEntitled(now)) thirds.count { it.until <= now }.toDouble() / THIRDS else 0.0

    private class Third {
        var limiter: VmName? = null
        var isWanted = false
        var until = -Duration.INFINITE
    }

    public companion object {
        /** Number of parts into which each limit is divided. */
        public const val THIRDS: Int = 3

        /** Time after the echoed stamp for which a limiter counts a delegation. */
        public val LAPSE_AT_LIMITER: Duration = 2.seconds

        /** Time after the report for which its sender counts the delegation; the surplus covers clocks that drift. */
        public val LAPSE_AT_SENDER: Duration = LAPSE_AT_LIMITER + 100.milliseconds
    }
}
