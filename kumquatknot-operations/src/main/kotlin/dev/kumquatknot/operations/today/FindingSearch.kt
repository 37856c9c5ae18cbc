package dev.kumquatknot.operations.today

import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.outcome.FailureReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Finds problems in the figures of a day and recommends changes of the answers. Findings are ordered by severity. */
internal object FindingSearch {
    private const val SLOWEST_QUANTILE = 0.99
    private const val REPLICA_READ_SHARE_GOAL = 0.95
    private const val TOLERATED_CALLER_FAULT_SHARE = 0.05
    private const val MINIMUM_REQUESTS = 100
    private val longestAcceptedFailover = 11.seconds
    private val overloadReasons = setOf(
        FailureReason.OVERLOADED,
        FailureReason.DEADLINE_UNREACHABLE,
        FailureReason.DEADLINE_PASSED,
    )
    private val primaryLossReasons =
        setOf(FailureReason.NO_PRIMARY, FailureReason.SUPERSEDED, FailureReason.UNCONFIRMED)

    fun search(kinds: List<EvaluatedKind>, failovers: List<FailoverFigures>): List<Finding> =
        kinds.flatMap(::brokenChecks) +
            kinds.mapNotNull(::openOutcomes) +
            failovers.mapNotNull(::longFailover) +
            kinds.sortedBy { it.configuration?.rank }.mapNotNull(::missedTarget) +
            kinds.mapNotNull(::staleReplicas) +
            kinds.mapNotNull(::fewReplicaReads) +
            kinds.mapNotNull(::callerFaults)

    private fun brokenChecks(kind: EvaluatedKind): List<Finding> {
        val checks = kind.figures.checks
        return listOf(
            checks.lost to "were acknowledged and are lost",
            checks.doubled to "ran more than once",
            checks.stale to "returned data that was too old",
        ).filter { (number, _) -> number > 0 }.map { (number, what) ->
            Finding(
                "${FigureFormat.count(number, "request")} of ${kind.label()} $what.",
                "No answer mends this. Keep the logs of today and report it as a fault of the proxy",
            )
        }
    }

    private fun openOutcomes(kind: EvaluatedKind): Finding? {
        val open = kind.figures.openUnknown
        if (open == 0L) return null
        val change = if (kind.figures.unknownWithoutKey > 0 &&
            kind.configuration?.repetition == Repetition.IDEMPOTENT
        ) {
            "Repeat them, which does no harm. To learn outcomes later, write \"mayBeRepeated\": false in ${kind.file()}"
        } else {
            "Let the callers ask for the outcome with the same idempotency key"
        }
        return Finding(
            "${FigureFormat.count(open, "request")} of ${kind.label()} ended with an unknown outcome.",
            change,
        )
    }

    private fun longFailover(failover: FailoverFigures): Finding? {
        val gap = failover.gapMillis.milliseconds
        if (gap <= longestAcceptedFailover) return null
        return Finding(
            "Database ${failover.database} was without service for ${FigureFormat.duration(
                gap,
            )} while its primary changed.",
            "No answer mends this. See whether two of its members were away at the same time",
        )
    }

    private fun missedTarget(kind: EvaluatedKind): Finding? {
        val configuration = kind.configuration ?: return null
        val figures = kind.figures
        val missed = figures.served - figures.withinTarget
        if (figures.served == 0L || missed <= figures.served * (1 - LatencyGoal.of(configuration.rank))) return null
        val refused = overloadReasons.sumOf { figures.refusals[it] ?: 0 }
        val withoutPrimary = primaryLossReasons.sumOf { figures.refusals[it] ?: 0 }
        val what =
            "${FigureFormat.count(missed)} of ${FigureFormat.count(figures.served, "request")} of ${kind.label()} " +
                "missed the target of ${FigureFormat.duration(configuration.targetMillis.milliseconds)}"
        return when {
            refused * 2 > missed ->
                Finding(
                    "$what; ${FigureFormat.count(refused)} were refused because the fleet was full.",
                    moreShare(kind, configuration),
                )

            withoutPrimary * 2 > missed ->
                Finding("$what, most of them while a database had no primary.", "Nothing, if the primaries are back")

            else -> Finding("$what.", laterTarget(kind, configuration, figures.latencies.quantile(SLOWEST_QUANTILE)))
        }
    }

    private fun moreShare(kind: EvaluatedKind, configuration: KindConfiguration): String =
        "In ${kind.file()} raise \"share\" above ${configuration.floorPercent} % or allow a later \"deadline\" than " +
            "${FigureFormat.duration(
                configuration.deadlineMillis.milliseconds,
            )}; or add members' \"slots\" in fleet.json"

    private fun laterTarget(kind: EvaluatedKind, configuration: KindConfiguration, percentile99: Duration?): String {
        val target = configuration.targetMillis.milliseconds
        return if (percentile99 != null && percentile99 > target) {
            "In ${kind.file()} raise \"target\" to ${FigureFormat.duration(
                percentile99,
            )}, within which 99 % were answered, " +
                "or add members' \"slots\" in fleet.json"
        } else {
            "Look at the reasons of the failures on the operators' pages; no answer stands out"
        }
    }

    private fun staleReplicas(kind: EvaluatedKind): Finding? {
        val refused = kind.figures.refusals[FailureReason.NOT_FRESH_ENOUGH] ?: 0
        if (refused == 0L) return null
        val age = kind.configuration?.maximumAgeMillis?.milliseconds
        val change = if (age == null) {
            "If slightly stale data will do, state an \"age\" in ${kind.file()}"
        } else {
            "In ${kind.file()} raise \"age\" above ${FigureFormat.duration(age)} if older data will do"
        }
        return Finding(
            "${FigureFormat.count(refused, "read")} of ${kind.label()} found no data that was fresh enough.",
            change,
        )
    }

    private fun fewReplicaReads(kind: EvaluatedKind): Finding? {
        val age = kind.configuration?.takeIf { it.access == Access.READ }?.maximumAgeMillis ?: return null
        val reads = kind.figures.primaryReads + kind.figures.replicaReads
        if (reads < MINIMUM_REQUESTS) return null
        val share = kind.figures.replicaReads.toDouble() / reads
        if (share >= REPLICA_READ_SHARE_GOAL) return null
        return Finding(
            "Replicas served only ${FigureFormat.share(share)} of ${kind.label()}.",
            "In ${kind.file()} raise \"age\" above ${FigureFormat.duration(age.milliseconds)} if older data will do",
        )
    }

    private fun callerFaults(kind: EvaluatedKind): Finding? {
        val faults = kind.figures.callerFaults
        val all = kind.figures.served + faults
        if (all < MINIMUM_REQUESTS || faults <= all * TOLERATED_CALLER_FAULT_SHARE) return null
        return Finding(
            "${FigureFormat.count(
                faults,
            )} of ${FigureFormat.count(all, "request")} of ${kind.label()} were malformed, failed in " +
                "the database or were not allowed.",
            "Correct the callers; the problem details that they receive name the reason",
        )
    }

    private fun EvaluatedKind.label(): String = "“${entry.identity.kind}” of team $team"

    private fun EvaluatedKind.file(): String = "teams/$team.json, kind \"${entry.identity.kind}\","
}
