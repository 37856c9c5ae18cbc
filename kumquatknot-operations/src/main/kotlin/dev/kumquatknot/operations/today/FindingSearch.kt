package dev.kumquatknot.operations.today

import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.outcome.FailureReason
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Searches the figures of a day for what went wrong and names the answers to change. The gravest come first. */
internal object FindingSearch {
    private const val SLOWEST_SHARE = 0.99
    private const val REPLICA_GOAL = 0.95
    private const val CALLER_FAULT_SHARE = 0.05
    private const val ENOUGH_REQUESTS = 100
    private val longestFailover = 11.seconds
    private val overload = setOf(
        FailureReason.OVERLOADED,
        FailureReason.DEADLINE_UNREACHABLE,
        FailureReason.DEADLINE_PASSED,
    )
    private val primaryLoss = setOf(FailureReason.NO_PRIMARY, FailureReason.SUPERSEDED, FailureReason.UNCONFIRMED)

    fun search(kinds: List<JudgedKind>, failovers: List<FailoverFigures>): List<Finding> =
        kinds.flatMap(::brokenChecks) +
            kinds.mapNotNull(::openOutcomes) +
            failovers.mapNotNull(::longFailover) +
            kinds.sortedBy { it.answers?.rank }.mapNotNull(::missedTarget) +
            kinds.mapNotNull(::staleReplicas) +
            kinds.mapNotNull(::fewReplicaReads) +
            kinds.mapNotNull(::callerFaults)

    private fun brokenChecks(kind: JudgedKind): List<Finding> {
        val checks = kind.figures.checks
        return listOf(
            checks.lost to "were acknowledged and are lost",
            checks.doubled to "ran more than once",
            checks.stale to "returned data that was too old",
        ).filter { (number, _) -> number > 0 }.map { (number, what) ->
            Finding(
                "${Wording.count(number, "request")} of ${kind.label()} $what.",
                "No answer mends this. Keep the logs of today and report it as a fault of the proxy",
            )
        }
    }

    private fun openOutcomes(kind: JudgedKind): Finding? {
        val open = kind.figures.openUnknown
        if (open == 0L) return null
        val change = if (kind.figures.unknownWithoutKey > 0 && kind.answers?.repetition == Repetition.IDEMPOTENT) {
            "Repeat them, which does no harm. To learn outcomes later, write \"mayBeRepeated\": false in ${kind.file()}"
        } else {
            "Let the callers ask for the outcome with the same idempotency key"
        }
        return Finding("${Wording.count(open, "request")} of ${kind.label()} ended with an unknown outcome.", change)
    }

    private fun longFailover(failover: FailoverFigures): Finding? {
        val gap = failover.gapMillis.milliseconds
        if (gap <= longestFailover) return null
        return Finding(
            "Database ${failover.database} was without service for ${Wording.duration(gap)} while its primary changed.",
            "No answer mends this. See whether two of its members were away at the same time",
        )
    }

    private fun missedTarget(kind: JudgedKind): Finding? {
        val answers = kind.answers ?: return null
        val figures = kind.figures
        val missed = figures.served - figures.withinTarget
        if (figures.served == 0L || missed <= figures.served * (1 - TargetGoal.of(answers.rank))) return null
        val refused = overload.sumOf { figures.refusals[it] ?: 0 }
        val withoutPrimary = primaryLoss.sumOf { figures.refusals[it] ?: 0 }
        val what = "${Wording.count(missed)} of ${Wording.count(figures.served, "request")} of ${kind.label()} " +
            "missed the target of ${Wording.duration(answers.targetMillis.milliseconds)}"
        return when {
            refused * 2 > missed ->
                Finding(
                    "$what; ${Wording.count(refused)} were refused because the fleet was full.",
                    moreShare(kind, answers),
                )

            withoutPrimary * 2 > missed ->
                Finding("$what, most of them while a database had no primary.", "Nothing, if the primaries are back")

            else -> Finding("$what.", laterTarget(kind, answers, figures.latencies.quantile(SLOWEST_SHARE)))
        }
    }

    private fun moreShare(kind: JudgedKind, answers: KindConfiguration): String =
        "In ${kind.file()} raise \"share\" above ${answers.floorPercent} % or allow a later \"deadline\" than " +
            "${Wording.duration(answers.deadlineMillis.milliseconds)}; or add members' \"slots\" in fleet.json"

    private fun laterTarget(kind: JudgedKind, answers: KindConfiguration, slowest: Duration?): String {
        val target = answers.targetMillis.milliseconds
        return if (slowest != null && slowest > target) {
            "In ${kind.file()} raise \"target\" to ${Wording.duration(slowest)}, within which 99 % were answered, " +
                "or add members' \"slots\" in fleet.json"
        } else {
            "Look at the reasons of the failures on the operators' pages; no answer stands out"
        }
    }

    private fun staleReplicas(kind: JudgedKind): Finding? {
        val refused = kind.figures.refusals[FailureReason.NOT_FRESH_ENOUGH] ?: 0
        if (refused == 0L) return null
        val age = kind.answers?.maximumAgeMillis?.milliseconds
        val change = if (age == null) {
            "If slightly stale data will do, state an \"age\" in ${kind.file()}"
        } else {
            "In ${kind.file()} raise \"age\" above ${Wording.duration(age)} if older data will do"
        }
        return Finding(
            "${Wording.count(refused, "read")} of ${kind.label()} found no data that was fresh enough.",
            change,
        )
    }

    private fun fewReplicaReads(kind: JudgedKind): Finding? {
        val age = kind.answers?.takeIf { it.access == Access.READ }?.maximumAgeMillis ?: return null
        val reads = kind.figures.primaryReads + kind.figures.replicaReads
        if (reads < ENOUGH_REQUESTS) return null
        val share = kind.figures.replicaReads.toDouble() / reads
        if (share >= REPLICA_GOAL) return null
        return Finding(
            "Replicas served only ${Wording.share(share)} of ${kind.label()}.",
            "In ${kind.file()} raise \"age\" above ${Wording.duration(age.milliseconds)} if older data will do",
        )
    }

    private fun callerFaults(kind: JudgedKind): Finding? {
        val faults = kind.figures.callerFaults
        val all = kind.figures.served + faults
        if (all < ENOUGH_REQUESTS || faults <= all * CALLER_FAULT_SHARE) return null
        return Finding(
            "${Wording.count(
                faults,
            )} of ${Wording.count(all, "request")} of ${kind.label()} were malformed, failed in " +
                "the database or were not allowed.",
            "Correct the callers; the problem details that they receive name the reason",
        )
    }

    private fun JudgedKind.label(): String = "“${entry.identity.kind}” of team $team"

    private fun JudgedKind.file(): String = "teams/$team.json, kind \"${entry.identity.kind}\","
}
