package dev.kumquatknot.core.admission

import kotlin.time.Duration

/** Picks the flow whose head runs next, out of at least one. */
public typealias SelectFlow = (waiting: List<WaitingFlow>) -> WaitingFlow

/**
 * The most urgent rank goes first, except that a flow below its floor goes before everything else. Within a rank slot
 * time is shared fairly among teams and, within a team, among kinds.
 */
public fun strictRankWithFloors(waiting: List<WaitingFlow>): WaitingFlow =
    waiting.filter { it.flow.belowFloor }.maxByOrNull { it.flow.owedSeconds }
        ?: waiting.minWith(STRICT_RANK_ORDER)

/** Ranks share slot time by their weights; within a rank the earliest deadline goes first. */
public fun weightedFairWithDeadlines(waiting: List<WaitingFlow>): WaitingFlow =
    waiting.minWith(WEIGHTED_FAIR_ORDER)

private val STRICT_RANK_ORDER: Comparator<WaitingFlow> =
    compareBy<WaitingFlow> { it.flow.rank }.thenBy { it.teamTag }.thenBy { it.kindTag }

private val WEIGHTED_FAIR_ORDER: Comparator<WaitingFlow> =
    compareBy<WaitingFlow> { it.rankTag }.thenBy { it.flow.headDeadline ?: Duration.INFINITE }
