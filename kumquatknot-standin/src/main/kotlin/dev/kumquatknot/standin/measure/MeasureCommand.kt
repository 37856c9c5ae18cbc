package dev.kumquatknot.standin.measure

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a measurement.
 *
 * @property duration virtual time of one run, of which the flood takes the middle half.
 * @property outputFolder folder that receives `measures.json` and `measures.png`; created where it is missing.
 * @property scenarios parts of the names of the scenarios to run; all where empty.
 */
public data class MeasureSettings(
    val seed: Long = 1,
    val duration: Duration = 16.seconds,
    val outputFolder: Path = Path.of("measures"),
    val scenarios: List<String> = emptyList(),
)

/**
 * Measures the policy under load on virtual time: the real admission queue and router serve the loads of both
 * deployments, beside plain baselines in the same run. The same seed gives the same figures.
 *
 * @param print receives the table line by line.
 */
public class MeasureCommand(private val settings: MeasureSettings, private val print: (String) -> Unit = ::println) {
    /** Runs the scenarios, prints the table, writes the files and returns the figures. */
    public fun run(): MeasureReport {
        val runs = DEPLOYMENTS.flatMap { deployment ->
            scenariosOf(deployment).filter { isWanted(it) }.flatMap { measure(deployment, it) }
        }
        val report = MeasureReport(settings.seed, settings.duration.inSeconds(), runs)
        ReportTable(report).lines().forEach(print)
        write(report)
        return report
    }

    private fun measure(deployment: Deployment, scenario: Scenario): List<RunFigures> =
        VARIANTS.map { runScenario(deployment, it, scenario, settings.duration, settings.seed).toFigures() }

    private fun isWanted(scenario: Scenario) =
        settings.scenarios.isEmpty() || settings.scenarios.any { it in scenario.name }

    private fun write(report: MeasureReport) {
        Files.createDirectories(settings.outputFolder)
        Files.writeString(settings.outputFolder.resolve("measures.json"), JSON.encodeToString(report) + "\n")
        if (report.runs.isNotEmpty()) ReportPlot(report).write(settings.outputFolder.resolve("measures.png"))
    }

    private companion object {
        val JSON = Json { prettyPrint = true }
        val DEPLOYMENTS = listOf(Deployment.PESEBRE_UNIDO, Deployment.NILE_EDGE)
        val VARIANTS = listOf(
            Variant.DESIGN,
            Variant.WEIGHTED_FAIR,
            Variant.FIXED_SLOTS,
            Variant.ONE_QUEUE,
            Variant.SPLIT_CONNECTIONS,
        )
        val LAGS = listOf(0, 10, 50, 100, 500).map { it.milliseconds }
        val OVERLOADS = listOf(1, 2, 4, 6, 10)

        fun scenariosOf(deployment: Deployment): List<Scenario> =
            LAGS.map { Scenario.steady(it) } +
                Scenario.floodOfBackground(deployment) +
                Scenario.floodOfUrgent(deployment) +
                Scenario.floodOfTenant(deployment) +
                Scenario.floodOfDatabase(deployment) +
                Scenario.slowPrimaries() +
                OVERLOADS.map { Scenario.overload(it) }
    }
}
