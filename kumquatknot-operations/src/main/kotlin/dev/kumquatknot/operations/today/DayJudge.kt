package dev.kumquatknot.operations.today

import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.outcome.FailureReason

/**
 * Judges a day: a pure function from the figures and the answers to the report.
 *
 * A broken promise makes the day bad. Otherwise an outcome that nobody knows, or figures that are missing, make it
 * unsure.
 */
public object DayJudge {
    /** Returns the report on the day of [context]. */
    public fun judge(context: DayContext): DayReport {
        val kinds = context.totals.kinds.map { judged(context.configuration, it) }
        val coverage = Coverage.of(context)
        val promises = listOf(bookings(kinds), money(kinds), readers(kinds), urgent(kinds))
        val worked = kinds.any { it.figures.served > 0 }
        val verdict = overall(promises, coverage, worked)
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

    private fun judged(configuration: FleetConfiguration, entry: KindEntry): JudgedKind =
        JudgedKind(entry.identity.team, configuration.team(entry.identity.team)?.kind(entry.identity.kind), entry)

    private fun bookings(kinds: List<JudgedKind>): PromiseReport {
        val figures = kinds.filter { it.isWriteFor(Purpose.BOOKING, Purpose.LOAN) }.map { it.figures }
        val made = figures.sumOf { it.completed - it.repeated }
        val checks = figures.fold(CheckFigures()) { sum, next -> sum + next.checks }
        val open = figures.sumOf { it.openUnknown }
        val work = "booking or loan"
        val several = "bookings and loans"
        val readBack = when (checks.kept) {
            0L -> "each was confirmed by two of three members; none has been read back"
            else -> "${Wording.count(checks.kept)} were read back and found"
        }
        return promise(
            "Bookings kept",
            made,
            open,
            broken = "${Wording.count(checks.lost)} acknowledged $several are lost.".takeIf { checks.lost > 0 },
            unsure = "Of ${Wording.count(open, work, several)} nobody knows yet whether they were made.",
            none = "No booking or loan was made.",
            good = "All ${Wording.count(made, work, several)} that were acknowledged are kept: $readBack.",
        )
    }

    private fun money(kinds: List<JudgedKind>): PromiseReport {
        val figures = kinds.filter { it.isWriteFor(Purpose.PAYMENT) }.map { it.figures }
        val taken = figures.sumOf { it.completed - it.repeated }
        val repeated = figures.sumOf { it.repeated }
        val doubled = figures.sumOf { it.checks.doubled }
        val lost = figures.sumOf { it.checks.lost }
        val open = figures.sumOf { it.openUnknown }
        val repeats = when (repeated) {
            0L -> "no caller repeated one"
            else -> "${Wording.count(repeated, "repeat")} took nothing again"
        }
        val broken = when {
            doubled > 0 -> "${Wording.count(doubled, "payment was", "payments were")} taken twice."
            lost > 0 -> "${Wording.count(lost, "acknowledged payment is", "acknowledged payments are")} lost."
            else -> null
        }
        return promise(
            "Money taken once",
            taken,
            open,
            broken,
            unsure = "Of ${Wording.count(open, "payment")} nobody knows yet whether the money was taken.",
            none = "No payment was taken.",
            good = "All ${Wording.count(taken, "payment")} were taken once, each together with its record; $repeats.",
        )
    }

    private fun readers(kinds: List<JudgedKind>): PromiseReport {
        val figures = kinds.filter { it.answers?.access == Access.READ }.map { it.figures }
        val reads = figures.sumOf { it.completed }
        val replicas = figures.sumOf { it.replicaReads }
        val stale = figures.sumOf { it.checks.stale }
        val refused = figures.sumOf { it.refusals[FailureReason.NOT_FRESH_ENOUGH] ?: 0 }
        val broken = when {
            stale > 0 -> "${Wording.count(stale, "read")} returned data that was too old."
            refused > (reads + refused) * TOLERATED_REFUSALS ->
                "${Wording.count(
                    refused,
                    "read",
                )} of ${Wording.count(reads + refused)} found no data that was fresh enough."
            else -> null
        }
        val byReplicas = if (reads == 0L) "" else "; replicas served ${Wording.share(replicas.toDouble() / reads)}"
        return promise(
            "Readers served fresh enough",
            reads,
            open = 0,
            broken,
            unsure = "",
            none = "Nobody read.",
            good = "All ${Wording.count(reads, "read")} came from members proved to hold their session's own writes " +
                "and data no older than the answers allow$byReplicas.",
        ).copy(unconditional = stale > 0)
    }

    private fun urgent(kinds: List<JudgedKind>): PromiseReport {
        val figures = kinds.filter { it.answers?.rank == Rank.URGENT }.map { it.figures }
        val served = figures.sumOf { it.served }
        val within = figures.sumOf { it.withinTarget }
        val goal = Wording.share(TargetGoal.of(Rank.URGENT))
        val share = if (served == 0L) 1.0 else within.toDouble() / served
        val sentence = "${Wording.share(share)} of ${Wording.count(served, "urgent request")} were answered within " +
            "their target; the goal is $goal."
        return promise(
            "Urgent work on target",
            served,
            open = 0,
            broken = sentence.takeIf { share < TargetGoal.of(Rank.URGENT) },
            unsure = "",
            none = "There was no urgent work.",
            good = sentence,
        ).copy(unconditional = false)
    }

    private fun promise(
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

    private fun overall(promises: List<PromiseReport>, coverage: Coverage, worked: Boolean): Verdict {
        val verdicts = promises.map { it.verdict }
        return when {
            Verdict.BAD in verdicts -> Verdict.BAD
            Verdict.UNSURE in verdicts || !coverage.complete -> Verdict.UNSURE
            worked -> Verdict.GOOD
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

    private const val TOLERATED_REFUSALS = 0.001
}
