package dev.kumquatknot.operations.today

/** Renders today's page as one HTML document without scripts or external resources. */
public object HtmlPage {
    private val columnTitles =
        listOf("Kind", "Rank", "Requests", "On target", "Median", "99 % within", "From replicas", "Refused", "Unknown")
    private val style: String by lazy { resource("page.css") }

    /** Returns the complete HTML document for [report]. */
    public fun render(report: DayReport): String =
        buildString {
            appendLine("<!DOCTYPE html>")
            appendLine("<html lang=\"en\">")
            head(report)
            appendLine("<body>")
            appendLine("<main>")
            verdict(report)
            promises(report.promises)
            notes(report.notes)
            findings(report.findings)
            failovers(report.failovers)
            table("Whole fleet, by rank", report.fleet)
            report.teams.forEach { table("Team ${it.team}", it.rows) }
            appendLine("</main>")
            appendLine("</body>")
            appendLine("</html>")
        }

    private fun StringBuilder.head(report: DayReport) {
        appendLine("<head>")
        appendLine("<meta charset=\"utf-8\">")
        appendLine("<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">")
        appendLine("<meta name=\"color-scheme\" content=\"light dark\">")
        appendLine("<title>${escape(report.headline)} ${report.date}</title>")
        appendLine("<style>")
        append(style)
        appendLine("</style>")
        appendLine("</head>")
    }

    private fun StringBuilder.verdict(report: DayReport) {
        appendLine("<header class=\"${name(report.verdict)}\">")
        appendLine("<p>${escape(report.date)}, ${FigureFormat.time(report.generatedAt)} UTC</p>")
        appendLine("<h1>${escape(report.headline)}</h1>")
        appendLine("</header>")
    }

    private fun StringBuilder.promises(promises: List<PromiseReport>) {
        appendLine("<ul class=\"promises\">")
        promises.forEach { promise ->
            appendLine("<li class=\"${name(promise.verdict)}\">")
            appendLine("<h2>${escape(promise.title)} <span class=\"mark\">${mark(promise.verdict)}</span></h2>")
            appendLine("<p>${escape(promise.sentence)}</p>")
            appendLine("</li>")
        }
        appendLine("</ul>")
    }

    private fun StringBuilder.notes(notes: List<String>) = list("Figures that are missing", notes.map(::escape))

    private fun StringBuilder.findings(findings: List<Finding>) =
        list(
            "What is wrong and what to change",
            findings.map { "${escape(it.what)}<br><span class=\"change\">${escape(it.change)}.</span>" },
        )

    private fun StringBuilder.failovers(failovers: List<FailoverFigures>) =
        list("Changes of primary", failovers.map { escape(PageText.failover(it)) + "." })

    private fun StringBuilder.list(title: String, items: List<String>) {
        if (items.isEmpty()) return
        appendLine("<section>")
        appendLine("<h2>${escape(title)}</h2>")
        appendLine("<ul>")
        items.forEach { appendLine("<li>$it</li>") }
        appendLine("</ul>")
        appendLine("</section>")
    }

    private fun StringBuilder.table(title: String, rows: List<ServiceRow>) {
        if (rows.isEmpty()) return
        appendLine("<table role=\"table\">")
        appendLine("<caption>${escape(title)}</caption>")
        val headings = columnTitles.joinToString("") { "<th scope=\"col\" role=\"columnheader\">$it</th>" }
        appendLine("<thead role=\"rowgroup\"><tr role=\"row\">$headings</tr></thead>")
        appendLine("<tbody role=\"rowgroup\">")
        rows.forEach { row(it) }
        appendLine("</tbody>")
        appendLine("</table>")
    }

    private fun StringBuilder.row(row: ServiceRow) {
        val cells = PageText.cells(row).map(::escape)
        append("<tr role=\"row\"><th scope=\"row\" role=\"rowheader\">${cells.first()}</th>")
        cells.zip(columnTitles).drop(1).forEach { (cell, column) ->
            append("<td role=\"cell\" data-label=\"$column\">$cell</td>")
        }
        appendLine("</tr>")
    }

    private fun name(verdict: Verdict): String = verdict.name.lowercase()

    private fun mark(verdict: Verdict): String =
        when (verdict) {
            Verdict.GOOD -> "✓ kept"
            Verdict.BAD -> "✗ broken"
            Verdict.UNSURE -> "? cannot say"
            Verdict.NONE -> "– nothing to judge"
        }

    private fun escape(text: String): String =
        text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;")

    private fun resource(name: String): String {
        val stream = checkNotNull(HtmlPage::class.java.getResourceAsStream(name)) { "resource $name" }
        return stream.use { it.readBytes().decodeToString() }
    }
}
