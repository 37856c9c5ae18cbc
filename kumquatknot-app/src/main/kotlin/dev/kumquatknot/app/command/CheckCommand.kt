package dev.kumquatknot.app.command

import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import kotlinx.cli.ArgType

/** Validates a folder with questionnaire answers. */
internal class CheckCommand(private val console: Console) : Command("check", "Check a folder with answers") {
    private val folder by argument(ArgType.String, "answers", "Folder with fleet.json and teams/")

    override fun run(): ExitCode =
        console.withAnswers(folder) { answers ->
            val kinds = answers.teams.sumOf { it.kinds.size }
            val databases = answers.fleet.databases.size
            console.out("$folder is in order: ${answers.teams.size} teams, $kinds kinds of work, $databases databases")
            ExitCode.OK
        }
}
