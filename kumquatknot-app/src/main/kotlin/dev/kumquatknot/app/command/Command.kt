package dev.kumquatknot.app.command

import dev.kumquatknot.app.ExitCode
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** One command of the program. [exitCode] is null until it has run. */
@OptIn(ExperimentalCli::class)
internal abstract class Command(name: String, description: String) : Subcommand(name, description) {
    var exitCode: ExitCode? = null
        private set

    /** Commands below this one. */
    open val children: List<Command> = emptyList()

    /** Does the command's work. */
    protected abstract fun run(): ExitCode

    override fun execute() {
        if (children.isEmpty()) exitCode = run()
    }
}

/** A command that only groups its [children]. */
@OptIn(ExperimentalCli::class)
internal abstract class CommandGroup(name: String, description: String) : Command(name, description) {
    override fun run(): ExitCode = ExitCode.USAGE

    protected fun group(vararg members: Command): List<Command> {
        subcommands(*members)
        return members.toList()
    }
}
