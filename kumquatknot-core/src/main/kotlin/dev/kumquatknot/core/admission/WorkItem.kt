package dev.kumquatknot.core.admission

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import kotlin.time.Duration

/**
 * One batch of statements that asks for a slot of a member.
 *
 * @property floorPercent share of the member's slot time that the kind keeps while other work floods in.
 * @property target time since the arrival within which the team wants the answer.
 * @property deadline moment of the node's monotonic clock after which the answer is of no more use.
 * @property cost slot time expected, relative to an ordinary batch of the same kind.
 */
public data class WorkItem(
    val id: RequestId,
    val team: TeamName,
    val kind: KindName,
    val rank: Rank,
    val floorPercent: Int,
    val target: Duration,
    val deadline: Duration,
    val cost: Double = 1.0,
) {
    internal val flow: FlowKey get() = FlowKey(team, kind)
}

/** Identity of a flow: the work of one kind of one team at one member. */
public data class FlowKey(val team: TeamName, val kind: KindName)
