package dev.kumquatknot.standin.measure

import dev.kumquatknot.core.configuration.Rank

/** Formats a [MeasureReport] as a table of plain text with one line per run. */
internal class ReportTable(private val report: MeasureReport) {
    fun lines(): List<String> = listOf(header()) + report.runs.map { line(it) }

    private fun header() = (listOf("deployment", "scenario", "variant") + COLUMNS).let { columns ->
        row(columns[0], columns[1], columns[2], columns.drop(LABELS))
    }

    private fun line(run: RunFigures): String {
        val urgent = run.kinds.filter { it.rank == Rank.URGENT.name.lowercase() && !it.floods }
        val values = listOf(
            percent(run.agedReadsAtReplicas),
            percent(run.sessionReadsAtReplicas),
            "%.0f".format(run.goodput),
            percent(run.urgentOnTarget),
            "%.0f".format(urgent.maxOfOrNull { it.p50Millis } ?: 0.0),
            "%.0f".format(urgent.maxOfOrNull { it.p99Millis } ?: 0.0),
            percent(run.othersAnswered),
            "${run.kinds.sumOf { it.notRun }}",
            "${run.kinds.sumOf { it.noAnswer }}",
            "${run.recoveryMillis}",
            "${run.idleWhileWaitingMillis}",
            "${run.staleAnswers}",
        )
        return row(run.deployment, run.scenario, run.variant, values)
    }

    private fun row(deployment: String, scenario: String, variant: String, values: List<String>) =
        "%-13s  %-29s  %-13s".format(deployment, scenario, variant) + values.joinToString("") { "%10s".format(it) }

    private fun percent(share: Double) = "%.2f%%".format(share * PERCENT)

    private companion object {
        const val LABELS = 3
        const val PERCENT = 100.0
        val COLUMNS = listOf(
            "aged@repl",
            "own@repl",
            "goodput",
            "urgent",
            "p50 ms",
            "p99 ms",
            "others",
            "not run",
            "no answer",
            "recov ms",
            "idle ms",
            "stale",
        )
    }
}
