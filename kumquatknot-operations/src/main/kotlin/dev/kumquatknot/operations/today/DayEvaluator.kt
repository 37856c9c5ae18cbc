package dev.kumquatknot.operations.today

import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.outcome.FailureReason

/**
 * Evaluates a day: a pure function from the figures and the configuration to the report.
 *
 * The verdict is BAD if a promise is broken; otherwise UNSURE if the outcome of a request is unknown or figures are
 * missing.
 */
public object DayEvaluator {
    /** Returns the report on the day that [context] describes. */
    public fun evaluate(context: DayContext): DayReport {
        val kinds = context.totals.kinds.map { withConfiguration(context.configuration, it) }
        val coverage = Coverage.of(context)
        val promises =
            listOf(evaluateBookings(kinds), evaluatePayments(kinds), evaluateReads(kinds), evaluateUrgentWork(kinds))
        val hasServedRequests = kinds.any { it.figures.served > 0 }
        val verdict = overallVerdict(promises, coverage, hasServedRequests)
        return DayReport(
            context.date,
            context.now,
            verdict,
            headline(verdict, promises),
            coverage.notes,
            promises,
            FindingSearch.search(kinds, context.totals.failovers),
            ServiceTable.byRank(kinds),
            ServiceTable.byTeam(kinds),
            context.totals.failovers,
        )
    }

    private fun withConfiguration(configuration: FleetConfiguration, entry: KindEntry): EvaluatedKind =
        EvaluatedKind(entry.identity.team, configuration.team(entry.identity.team)?.kind(entry.identity.kind), entry)

    private fun evaluateBookings(kinds: List<EvaluatedKind>): PromiseReport {
        val figures = kinds.filter { it.isWriteFor(Purpose.BOOKING, Purpose.LOAN) }.map { it.figures }
        val made = figures.sumOf { it.completed - it.repeated }
        val checks = figures.fold(CheckFigures()) { sum, next -> sum + next.checks }
        val open = figures.sumOf { it.openUnknown }
        val work = "booking or loan"
        val several = "bookings and loans"
        val readBack = when (checks.kept) {
            0L -> "each was confirmed by two of three members; none has been read back"
            else -> "${FigureFormat.count(checks.kept)} were read back and found"
        }
        return promiseReport(
            "Bookings kept",
            made,
            open,
            broken = "${FigureFormat.count(checks.lost)} acknowledged $several are lost.".takeIf { checks.lost > 0 },
            unsure = "Of ${FigureFormat.count(open, work, several)} nobody knows yet whether they were made.",
            none = "No booking or loan was made.",
            good = "All ${FigureFormat.count(made, work, several)} that were acknowledged are kept: $readBack.",
        )
    }

    private fun evaluatePayments(kinds: List<EvaluatedKind>): PromiseReport {
        val figures = kinds.filter { it.isWriteFor(Purpose.PAYMENT) }.map { it.figures }
        val taken = figures.sumOf { it.completed - it.repeated }
        val repeated = figures.sumOf { it.repeated }
        val doubled = figures.sumOf { it.checks.doubled }
        val lost = figures.sumOf { it.checks.lost }
        val open = figures.sumOf { it.openUnknown }
        val repeats = when (repeated) {
            0L -> "no caller repeated one"
            else -> "${FigureFormat.count(repeated, "repeat")} took nothing again"
        }
        val broken = when {
            doubled > 0 -> "${FigureFormat.count(doubled, "payment was", "payments were")} taken twice."
            lost > 0 -> "${FigureFormat.count(lost, "acknowledged payment is", "acknowledged payments are")} lost."
            else -> null
        }
        return promiseReport(
            "Money taken once",
            taken,
            open,
            broken,
            unsure = "Of ${FigureFormat.count(open, "payment")} nobody knows yet whether the money was taken.",
            none = "No payment was taken.",
            good = "All ${FigureFormat.count(
                taken,
                "payment",
            )} were taken once, each together with its record; $repeats.",
        )
    }

    private fun evaluateReads(kinds: List<EvaluatedKind>): PromiseReport {
        val figures = kinds.filter { it.configuration?.access == Access.READ }.map { it.figures }
        val reads = figures.sumOf { it.completed }
        val replicas = figures.sumOf { it.replicaReads }
        val stale = figures.sumOf { it.checks.stale }
        val refused = figures.sumOf { it.refusals[FailureReason.NOT_FRESH_ENOUGH] ?: 0 }
        val broken = when {
            stale > 0 -> "${FigureFormat.count(stale, "read")} returned data that was too old."
            refused > (reads + refused) * TOLERATED_REFUSAL_SHARE ->
                "${FigureFormat.count(
                    refused,
                    "read",
                )} of ${FigureFormat.count(reads + refused)} found no data that was fresh enough."
            else -> null
        }
        val byReplicas = if (reads == 0L) "" else "; replicas served ${FigureFormat.share(replicas.toDouble() / reads)}"
        return promiseReport(
            "Readers served fresh enough",
            reads,
            open = 0,
            broken,
            unsure = "",
            none = "Nobody read.",
            good =
                "All ${FigureFormat.count(
                    reads,
                    "read",
                )} came from members proved to hold their session's own writes " +
                    "and data no older than the answers allow$byReplicas.",
        ).copy(unconditional = stale > 0)
    }

    private fun evaluateUrgentWork(kinds: List<EvaluatedKind>): PromiseReport {
        val figures = kinds.filter { it.configuration?.rank == Rank.URGENT }.map { it.figures }
        val served = figures.sumOf { it.served }
        val within = figures.sumOf { it.withinTarget }
        val goal = FigureFormat.share(LatencyGoal.of(Rank.URGENT))
        val share = if (served == 0L) 1.0 else within.toDouble() / served
        val sentence =
            "${FigureFormat.share(
                share,
            )} of ${FigureFormat.count(served, "urgent request")} were answered within " +
                "their target; the goal is $goal."
        return promiseReport(
            "Urgent work on target",
            served,
            open = 0,
            broken = sentence.takeIf { share < LatencyGoal.of(Rank.URGENT) },
            unsure = "",
            none = "There was no urgent work.",
            good = sentence,
        ).copy(unconditional = false)
    }

    private fun promiseReport(
        title: String,
        amount: Long,
        open: Long,
        broken: String?,
        unsure: String,
        none: String,
        good: String,
    ): PromiseReport =
        when {
            broken != null -> PromiseReport(title, Verdict.BAD, broken)
            open > 0 -> PromiseReport(title, Verdict.UNSURE, unsure)
            amount == 0L -> PromiseReport(title, Verdict.NONE, none)
            else -> PromiseReport(title, Verdict.GOOD, good)
        }

    private fun overallVerdict(promises: List<PromiseReport>, coverage: Coverage, hasServedRequests: Boolean): Verdict {
        val verdicts = promises.map { it.verdict }
        return when {
            Verdict.BAD in verdicts -> Verdict.BAD
            Verdict.UNSURE in verdicts || !coverage.complete -> Verdict.UNSURE
            hasServedRequests -> Verdict.GOOD
            else -> Verdict.NONE
        }
    }

    private fun headline(verdict: Verdict, promises: List<PromiseReport>): String =
        when (verdict) {
            Verdict.GOOD -> "Today went well so far."
            Verdict.NONE -> "There was no work today so far."
            Verdict.UNSURE -> "We cannot say yet whether today went well."
            Verdict.BAD -> {
                val broken = promises.count { it.verdict == Verdict.BAD }
                "Today did not go well: $broken of ${promises.size} promises ${verb(broken)} broken."
            }
        }

    private fun verb(number: Int): String = if (number == 1) "is" else "are"

    private const val TOLERATED_REFUSAL_SHARE = 0.001
}
