package dev.kumquatknot.app.command

import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.app.demo.Demo
import dev.kumquatknot.app.demo.DemoSettings
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlin.time.Duration.Companion.seconds

/** Shows the whole path in one process. */
internal class DemoCommand(private val console: Console) : Command("demo", "Show the whole path in one process") {
    private val defaults = DemoSettings()
    private val stay by option(ArgType.Int, "stay", description = "Seconds for which the pages stay at the end")
        .default(defaults.stay.inWholeSeconds.toInt())

    override fun run(): ExitCode {
        if (System.getenv(LOG_LEVEL) == null) System.setProperty(LOG_LEVEL, "ERROR")
        return Demo(defaults.copy(stay = stay.coerceAtLeast(0).seconds), console).run()
    }

    private companion object {
        const val LOG_LEVEL = "KUMQUATKNOT_LOG_LEVEL"
    }
}
