package dev.kumquatknot.core.admission

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import kotlin.time.Duration

/**
 * A batch of statements that needs a slot of a member.
 *
 * @property floorPercent minimum share of the member's slot time for the kind while it has waiting work, in percent.
 * @property target time from arrival within which the team wants the response.
 * @property deadline time of the node's monotonic clock after which the response is useless.
 * @property cost expected slot time relative to an ordinary batch of the same kind.
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

/** Key of a [Flow] within the [AdmissionQueue] of one member. */
public data class FlowKey(val team: TeamName, val kind: KindName)
