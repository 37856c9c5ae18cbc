package dev.kumquatknot.core.admission

/**
 * A flow with waiting work, and its places in the fair orders of ranks, teams and kinds.
 *
 * @property rankTag weighted slot time that the rank has received.
 * @property teamTag slot time that the team has received within the rank.
 * @property kindTag slot time that the kind has received within the team and rank.
 */
public data class WaitingFlow(val flow: Flow, val rankTag: Double, val teamTag: Double, val kindTag: Double)
