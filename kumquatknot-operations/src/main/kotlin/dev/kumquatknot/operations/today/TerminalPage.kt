package dev.kumquatknot.operations.today

/** Renders today's page as plain text for a terminal of 120 columns. */
public object TerminalPage {
    private const val NAME_WIDTH = 22
    private const val FIGURE_WIDTH = 10
    private val columnTitles =
        listOf("kind", "rank", "requests", "on target", "median", "99 %", "replicas", "refused", "unknown")

    /** Returns the text for [report]; it ends with a line break. */
    public fun render(report: DayReport): String =
        buildString {
            appendLine("kumquatknot, ${report.date}, ${FigureFormat.time(report.generatedAt)} UTC")
            appendLine()
            appendLine(report.headline)
            appendLine()
            report.promises.forEach { appendLine("  [${mark(it.verdict)}] ${it.title}. ${it.sentence}") }
            section("Figures that are missing", report.notes)
            section(
                "What is wrong and what to change",
                report.findings.flatMap {
                    listOf(it.what, "  > ${it.change}.")
                },
            )
            section("Changes of primary", report.failovers.map(PageText::failover))
            table("Whole fleet, by rank", report.fleet)
            report.teams.forEach { table("Team ${it.team}", it.rows) }
        }

    private fun mark(verdict: Verdict): String =
        when (verdict) {
            Verdict.GOOD -> " kept "
            Verdict.BAD -> "BROKEN"
            Verdict.UNSURE -> "cannot say"
            Verdict.NONE -> "  --  "
        }

    private fun StringBuilder.section(title: String, lines: List<String>) {
        if (lines.isEmpty()) return
        appendLine()
        appendLine(title)
        lines.forEach { appendLine("  $it") }
    }

    private fun StringBuilder.table(title: String, rows: List<ServiceRow>) {
        if (rows.isEmpty()) return
        appendLine()
        appendLine(title)
        appendLine(line(columnTitles))
        rows.forEach { appendLine(line(PageText.cells(it))) }
    }

    private fun line(cells: List<String>): String =
        "  " + cells.mapIndexed { index, cell ->
            if (index == 0) cell.padEnd(NAME_WIDTH) else cell.padStart(FIGURE_WIDTH)
        }.joinToString(" ").trimEnd()
}
