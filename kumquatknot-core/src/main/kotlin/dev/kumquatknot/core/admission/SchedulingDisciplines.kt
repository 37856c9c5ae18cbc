package dev.kumquatknot.core.admission

import kotlin.time.Duration

/** Selects the flow whose first item runs next; the list has at least one flow. */
public typealias SelectFlow = (waiting: List<WaitingFlow>) -> WaitingFlow

/**
 * Strict priority by rank, except that a flow below its floor precedes all others. Within a rank, slot time is shared
 * fairly among teams and, within a team, among kinds.
 */
public fun strictRankWithFloors(waiting: List<WaitingFlow>): WaitingFlow =
    waiting.filter { it.flow.belowFloor }.maxByOrNull { it.flow.floorDeficitSeconds }
        ?: waiting.minWith(STRICT_RANK_ORDER)

/**
 * As [strictRankWithFloors], except that a team that uses more than half of the slots is served after all others.
 *
 * Answers a team that sends several times its usual load: by rank alone, its urgent work would take the slots from
 * the less urgent work of all other teams.
 */
public fun strictRankWithinTeamShares(waiting: List<WaitingFlow>): WaitingFlow =
    strictRankWithFloors(waiting.filter { it.teamShare <= MAXIMUM_TEAM_SHARE }.ifEmpty { waiting })

/** Weighted fair queueing among ranks; earliest deadline first within a rank. */
public fun weightedFairWithDeadlines(waiting: List<WaitingFlow>): WaitingFlow =
    waiting.minWith(WEIGHTED_FAIR_ORDER)

private const val MAXIMUM_TEAM_SHARE = 0.5

private val STRICT_RANK_ORDER: Comparator<WaitingFlow> =
    compareBy<WaitingFlow> { it.flow.rank }.thenBy { it.teamTag }.thenBy { it.kindTag }

private val WEIGHTED_FAIR_ORDER: Comparator<WaitingFlow> =
    compareBy<WaitingFlow> { it.rankTag }.thenBy { it.flow.headDeadline ?: Duration.INFINITE }
