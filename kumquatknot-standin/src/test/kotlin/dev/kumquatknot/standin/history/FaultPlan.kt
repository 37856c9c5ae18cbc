package dev.kumquatknot.standin.history

import org.apache.commons.rng.UniformRandomProvider

/** A fault that a run injects and later heals. */
enum class Fault {
    PRIMARY_ISOLATED_FROM_VMS,
    PRIMARY_ISOLATED_FROM_SOME_VMS,
    PRIMARY_ISOLATED_FROM_MEMBERS,
    PRIMARY_ISOLATED,
    PRIMARY_STOPPED,
    REPLICA_STOPPED,
    REPLICA_LAG,
    SILENT_CONNECTIONS,
    LATE_ANSWERS,
    LOST_COMMIT_ANSWERS,
    SLOW_PRIMARY,
    NODE_CUT_OFF,
    NODE_ANSWERS_LOST,
    NODE_KILLED,
    NODE_LEAVING,
    STORE_DOWN,
    RACING_CONFIGURATIONS,
}

/** One or two faults that stand for [millis], followed by [restMillis] without. */
data class FaultRound(val faults: List<Fault>, val millis: Long, val restMillis: Long)

/** Draws the rounds of a run. A node goes at most once in a run, so that a majority of the nodes stays. */
class FaultPlan(private val random: UniformRandomProvider) {
    fun rounds(count: Int): List<FaultRound> {
        var left = Fault.entries.toList()
        return List(count) {
            val faults = List(random.nextInt(1, 3)) { left[random.nextInt(left.size)] }.distinct()
            if (faults.any { it in ending }) left = left - ending
            val kept = if (faults.all { it in ending }) faults.take(1) else faults
            FaultRound(kept, random.nextLong(SHORTEST, LONGEST), random.nextLong(1, LONGEST_REST))
        }
    }

    private companion object {
        val ending = setOf(Fault.NODE_KILLED, Fault.NODE_LEAVING)
        const val SHORTEST = 200L
        const val LONGEST = 1200L
        const val LONGEST_REST = 300L
    }
}
