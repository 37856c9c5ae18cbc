package dev.kumquatknot.app.command

import arrow.core.Either
import arrow.core.NonEmptyList
import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.operations.document.Problem
import dev.kumquatknot.standin.process.StandinProcess
import dev.kumquatknot.standin.process.StandinProcesses
import kotlinx.cli.ArgType
import java.nio.file.Path

/** Runs a stand-in, for trials without a platform or a database. */
internal class StandinCommand(console: Console) : CommandGroup("standin", "Stand-ins for trials") {
    override val children: List<Command> = registerSubcommands(
        RunStandinCommand("platform", "Run the stand-in platform", console, StandinProcesses::startPlatform),
        RunStandinCommand("database", "Run a stand-in database group", console, StandinProcesses::startDatabase),
    )
}

/** Runs the stand-in that [start] creates from its settings file, until the process is ended. */
internal class RunStandinCommand(
    name: String,
    description: String,
    private val console: Console,
    private val start: (Path) -> Either<NonEmptyList<Problem>, StandinProcess>,
) : Command(name, "$description until the process is ended") {
    private val settingsFile by argument(ArgType.String, "settings", "JSON file with the settings")

    override fun run(): ExitCode =
        start(Path.of(settingsFile)).fold(
            { problems ->
                console.reportError(problems)
                ExitCode.BAD_DATA
            },
            { process ->
                console.out(process.readyLine)
                process.awaitEnd()
                ExitCode.OK
            },
        )
}
