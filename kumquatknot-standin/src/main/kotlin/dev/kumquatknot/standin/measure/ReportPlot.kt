package dev.kumquatknot.standin.measure

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChart
import org.knowm.xchart.CategoryChartBuilder
import java.nio.file.Path

/** Draws a [MeasureReport]: urgent work on target and goodput by scenario, for each deployment. */
internal class ReportPlot(private val report: MeasureReport) {
    fun write(file: Path) {
        val charts = report.runs.groupBy { it.deployment }.flatMap { (deployment, runs) ->
            listOf(
                chart("$deployment: urgent work on target (%)", runs) { it.urgentOnTarget * PERCENT },
                chart("$deployment: answers per second", runs) { it.goodput },
            )
        }
        BitmapEncoder.saveBitmap(
            charts,
            charts.size / COLUMNS,
            COLUMNS,
            file.toString(),
            BitmapEncoder.BitmapFormat.PNG,
        )
    }

    private fun chart(title: String, runs: List<RunFigures>, value: (RunFigures) -> Double): CategoryChart {
        val chart = CategoryChartBuilder().width(WIDTH).height(HEIGHT).title(title).build()
        val scenarios = runs.map { it.scenario }.distinct()
        chart.styler.xAxisLabelRotation = ROTATION
        runs.groupBy { it.variant }.forEach { (variant, ofVariant) ->
            val values = scenarios.map { scenario ->
                ofVariant.firstOrNull { it.scenario == scenario }?.let(value)
                    ?: 0.0
            }
            chart.addSeries(variant, scenarios, values)
        }
        return chart
    }

    private companion object {
        const val PERCENT = 100.0
        const val COLUMNS = 2
        const val WIDTH = 1100
        const val HEIGHT = 600
        const val ROTATION = 45
    }
}
