package dev.kumquatknot.operations.today

import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.identity.VmName
import java.time.Instant
import kotlin.time.Duration

/** Judgement on a promise or on the day. */
public enum class Verdict {
    /** Kept. */
    GOOD,

    /** Broken. */
    BAD,

    /** The figures do not allow a judgement. */
    UNSURE,

    /** There was nothing to judge. */
    NONE,
}

/**
 * What is known about a day when its page is made.
 *
 * @property liveVms the VMs whose figures are expected.
 * @property staleAfter age from which the newest figures of a live VM count as missing.
 * @property platformAnswered whether [totals] come from the platform; otherwise they are this VM's own.
 */
public data class DayContext(
    val date: String,
    val now: Instant,
    val configuration: FleetConfiguration,
    val totals: DayTotals,
    val liveVms: Set<VmName>,
    val staleAfter: Duration,
    val platformAnswered: Boolean = true,
)

/**
 * One promise to the owner, in a plain [sentence].
 *
 * @property unconditional whether a breach counts at any load and through any fault, unlike a missed goal.
 */
public data class PromiseReport(
    val title: String,
    val verdict: Verdict,
    val sentence: String,
    val unconditional: Boolean = true,
)

/**
 * Something that went wrong.
 *
 * @property change what to change in the answers, or what else to do.
 */
public data class Finding(val what: String, val change: String)

/** Service of one kind of work, or of one rank over all teams. A figure that does not apply is null. */
public data class ServiceRow(
    val name: String,
    val rank: Rank?,
    val served: Long,
    val withinTarget: Double?,
    val target: Duration?,
    val median: Duration?,
    val slowest: Duration?,
    val replicaShare: Double?,
    val refused: Long,
    val unknown: Long,
)

/** Service of one team. */
public data class TeamReport(val team: TeamName, val rows: List<ServiceRow>)

/**
 * Today's page before it is laid out.
 *
 * @property notes what the figures do not cover.
 */
public data class DayReport(
    val date: String,
    val madeAt: Instant,
    val verdict: Verdict,
    val headline: String,
    val notes: List<String>,
    val promises: List<PromiseReport>,
    val findings: List<Finding>,
    val fleet: List<ServiceRow>,
    val teams: List<TeamReport>,
    val failovers: List<FailoverFigures>,
)
