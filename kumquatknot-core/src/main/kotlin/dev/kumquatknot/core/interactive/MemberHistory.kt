package dev.kumquatknot.core.interactive

import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.platform.StoreEra
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Reconciles successive listings of the members of one group. Leaving is final for one run of a member's process. A
 * store that came back from a copy lists members as they were before, until those that run have written again and the
 * entries of the others have expired; until then no listing brings back a run that has left or was replaced.
 *
 * Confined to one thread.
 */
public class MemberHistory {
    private val runs = HashMap<MemberName, Run>()
    private var era: StoreEra? = null
    private var doubtfulUntil = -Duration.INFINITE

    /** Returns the members of [listed], a listing of [listingEra], that may be used at [now]. */
    public fun reconcile(listed: List<DiscoveredMember>, listingEra: StoreEra, now: Duration): List<DiscoveredMember> {
        if (era?.let { listingEra > it } ?: false) doubtfulUntil = now + RESTORED_ENTRY_LIFETIME
        era = listingEra
        val accepted = listed.mapNotNull { accept(it, isDoubtful = now < doubtfulUntil) }
        val names = accepted.map { it.name }.toSet()
        runs.filterKeys { it !in names }.forEach { (name, run) ->
            if (run.goneSince == null) runs[name] = run.copy(goneSince = now)
        }
        runs.values.removeIf { run -> run.goneSince?.let { now - it > RETENTION } ?: false }
        return accepted
    }

    private fun accept(member: DiscoveredMember, isDoubtful: Boolean): DiscoveredMember? {
        val known = runs[member.name]
        val isSameRun = known?.startedAtMillis == member.startedAtMillis
        val hasEnded = known != null &&
            if (isSameRun) known.leaving && known.goneSince != null else member.startedAtMillis < known.startedAtMillis
        if (isDoubtful && hasEnded) return null
        val leaving = member.leaving || (isSameRun && known.leaving)
        runs[member.name] = Run(member.startedAtMillis, leaving, goneSince = null)
        return member.copy(leaving = leaving)
    }

    private data class Run(val startedAtMillis: Long, val leaving: Boolean, val goneSince: Duration?)

    public companion object {
        /** Time in which members write their entries again and the entries of members that have left expire. */
        public val RESTORED_ENTRY_LIFETIME: Duration = 5.seconds

        /** Exceeds the age of the copies from which a store comes back. */
        private val RETENTION = 60.seconds
    }
}
