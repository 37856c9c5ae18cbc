package dev.kumquatknot.app.command

import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.standin.measure.MeasureSettings
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.io.IOException
import java.nio.file.Path
import kotlin.time.Duration.Companion.seconds
import dev.kumquatknot.standin.measure.MeasureCommand as Measurement

/** Simulates the policy under load on virtual time and writes a table, a JSON file and a plot. */
internal class MeasureCommand(private val console: Console) :
    Command("measure", "Measure the policy under load beside plain baselines") {
    private val defaults = MeasureSettings()
    private val seed by option(ArgType.Int, "seed", description = "Seed of the loads").default(defaults.seed.toInt())
    private val runSeconds by option(ArgType.Int, "seconds", description = "Virtual time of one run, in seconds")
        .default(defaults.duration.inWholeSeconds.toInt())
    private val output by option(ArgType.String, "output", "o", "Folder for measures.json and measures.png")
        .default(defaults.outputFolder.toString())
    private val scenario by option(
        ArgType.String,
        "scenario",
        description = "Part of the names of the scenarios to run",
    )

    override fun run(): ExitCode {
        if (runSeconds < 1) {
            console.reportError("parse, local: --seconds must be at least 1")
            return ExitCode.USAGE
        }
        val settings = MeasureSettings(seed.toLong(), runSeconds.seconds, Path.of(output), listOfNotNull(scenario))
        return try {
            Measurement(settings, console.out).run()
            ExitCode.OK
        } catch (error: IOException) {
            console.reportError("write, local: $output cannot be written: $error")
            ExitCode.FAILED
        }
    }
}
