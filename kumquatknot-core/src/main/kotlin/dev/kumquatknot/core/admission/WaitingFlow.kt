package dev.kumquatknot.core.admission

/**
 * A flow with waiting items and its fair queueing tags; a lower tag is served first.
 *
 * @property rankTag virtual start time of the rank, from its weighted slot time.
 * @property teamTag virtual start time of the team within the rank.
 * @property kindTag virtual start time of the kind within the team and rank.
 * @property teamShare share of the slots that the team has used lately, over all ranks.
 */
public data class WaitingFlow(
    val flow: Flow,
    val rankTag: Double,
    val teamTag: Double,
    val kindTag: Double,
    val teamShare: Double = 0.0,
)
