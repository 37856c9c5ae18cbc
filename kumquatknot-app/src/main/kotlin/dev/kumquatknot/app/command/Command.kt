package dev.kumquatknot.app.command

import dev.kumquatknot.app.ExitCode
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** One command of the program. [exitCode] is null until the command has run. */
@OptIn(ExperimentalCli::class)
internal abstract class Command(name: String, description: String) : Subcommand(name, description) {
    var exitCode: ExitCode? = null
        private set

    /** The subcommands of this command. */
    open val children: List<Command> = emptyList()

    /** Executes the command and returns its exit code. */
    protected abstract fun run(): ExitCode

    override fun execute() {
        if (children.isEmpty()) exitCode = run()
    }
}

/** A command that only holds [children] and cannot run itself. */
@OptIn(ExperimentalCli::class)
internal abstract class CommandGroup(name: String, description: String) : Command(name, description) {
    override fun run(): ExitCode = ExitCode.USAGE

    protected fun registerSubcommands(vararg commands: Command): List<Command> {
        subcommands(*commands)
        return commands.toList()
    }
}
