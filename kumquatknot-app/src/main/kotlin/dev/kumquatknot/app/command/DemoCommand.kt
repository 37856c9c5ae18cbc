package dev.kumquatknot.app.command

import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.app.demo.Demo
import dev.kumquatknot.app.demo.DemoSettings
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlin.time.Duration.Companion.seconds

/** Runs the demo, with logging reduced to errors unless the environment sets a level. */
internal class DemoCommand(private val console: Console) :
    Command("demo", "Show the whole path in one process") {
    private val defaults = DemoSettings()
    private val staySeconds by option(ArgType.Int, "stay", description = "Seconds for which the pages stay at the end")
        .default(defaults.pageServingTime.inWholeSeconds.toInt())

    override fun run(): ExitCode {
        if (System.getenv(LOG_LEVEL_VARIABLE) == null) System.setProperty(LOG_LEVEL_VARIABLE, "ERROR")
        return Demo(defaults.copy(pageServingTime = staySeconds.coerceAtLeast(0).seconds), console).run()
    }

    private companion object {
        const val LOG_LEVEL_VARIABLE = "KUMQUATKNOT_LOG_LEVEL"
    }
}
