package dev.kumquatknot.operations.today

import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.identity.VmName
import java.time.Instant
import kotlin.time.Duration

/** Evaluation result of a promise or of the whole day. */
public enum class Verdict {
    /** The promise, or each promise of the day, is kept. */
    GOOD,

    /** The promise, or one of the day, is broken. */
    BAD,

    /** The figures are incomplete, or the outcome of a request is unknown. */
    UNSURE,

    /** There was no work to evaluate. */
    NONE,
}

/**
 * Input of the evaluation of a day.
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
 * Evaluation of one promise to the operator.
 *
 * @property sentence the result in plain language.
 * @property unconditional whether the promise holds at any load and during any fault, unlike a performance goal.
 */
public data class PromiseReport(
    val title: String,
    val verdict: Verdict,
    val sentence: String,
    val unconditional: Boolean = true,
)

/**
 * A problem found in the figures of a day.
 *
 * @property what the problem, with its extent.
 * @property change recommended change of the answers, or another action.
 */
public data class Finding(val what: String, val change: String)

/**
 * Table row for one kind of work, or for one rank over all teams. A figure that does not apply is null.
 *
 * @property withinTarget share of the served requests that were answered within their target.
 * @property percentile99 latency within which 99 % of the completed requests were answered.
 * @property replicaShare share of the reads that replicas answered.
 */
public data class ServiceRow(
    val name: String,
    val rank: Rank?,
    val served: Long,
    val withinTarget: Double?,
    val target: Duration?,
    val median: Duration?,
    val percentile99: Duration?,
    val replicaShare: Double?,
    val refused: Long,
    val unknown: Long,
)

/** Table rows of one team, one for each kind of work. */
public data class TeamReport(val team: TeamName, val rows: List<ServiceRow>)

/**
 * Content of today's page, independent of its layout.
 *
 * @property notes sentences on missing and stale figures.
 */
public data class DayReport(
    val date: String,
    val generatedAt: Instant,
    val verdict: Verdict,
    val headline: String,
    val notes: List<String>,
    val promises: List<PromiseReport>,
    val findings: List<Finding>,
    val fleet: List<ServiceRow>,
    val teams: List<TeamReport>,
    val failovers: List<FailoverFigures>,
)
