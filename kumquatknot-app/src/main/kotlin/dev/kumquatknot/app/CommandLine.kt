package dev.kumquatknot.app

import dev.kumquatknot.app.command.ApplyCommand
import dev.kumquatknot.app.command.CheckCommand
import dev.kumquatknot.app.command.Command
import dev.kumquatknot.app.command.DemoCommand
import dev.kumquatknot.app.command.ExplainCommand
import dev.kumquatknot.app.command.GenerateCommand
import dev.kumquatknot.app.command.KeysCommand
import dev.kumquatknot.app.command.MeasureCommand
import dev.kumquatknot.app.command.NodeCommand
import dev.kumquatknot.app.command.ProxyCommand
import dev.kumquatknot.app.command.StandinCommand
import dev.kumquatknot.app.command.StatusCommand
import dev.kumquatknot.app.command.VersionCommand
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.proxy.adapter.platform.HttpObjectStore
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import java.net.URI

/** Returns a client of the platform's object API at [address], which is `host:port`. */
public typealias ConnectPlatform = (address: String) -> ObjectStore

/**
 * Parses the arguments of the program and runs the command that they name.
 *
 * @param connect creates the client of the platform's object API.
 */
@OptIn(ExperimentalCli::class)
public class CommandLine(
    private val console: Console,
    private val connect: ConnectPlatform = { HttpObjectStore(URI("http://$it")) },
) {
    /** Runs the command in [arguments]; without a command it prints the help. */
    public fun run(arguments: List<String>): ExitCode {
        val commands = commands()
        val commandName = arguments.firstOrNull()
        return when {
            commandName == null || commandName in helpArguments -> {
                console.out(HelpText.overview)
                ExitCode.OK
            }

            commands.none { it.name == commandName } -> {
                console.reportError("parse, local: unknown command \"$commandName\"; see `kumquatknot help`")
                ExitCode.USAGE
            }

            else -> parse(arguments, commands)
        }
    }

    private fun parse(arguments: List<String>, commands: List<Command>): ExitCode {
        val parser = ArgParser(PROGRAM_NAME, strictSubcommandOptionsOrder = true)
        commands.forEach { parser.subcommands(it) }
        (commands + commands.flatMap { it.children } + parser).forEach(ParserTermination::throwOnTermination)
        return try {
            parser.parse(arguments.toTypedArray())
            val executed = commands.flatMap { listOf(it) + it.children }.firstOrNull { it.exitCode != null }
            executed?.exitCode ?: reportMissingSubcommand(arguments.first())
        } catch (termination: ParserTermination.TerminationException) {
            reportTermination(termination)
        }
    }

    private fun reportTermination(termination: ParserTermination.TerminationException): ExitCode =
        if (termination.isError) {
            console.reportError("parse, local: ${termination.text.trim()}")
            ExitCode.USAGE
        } else {
            console.out(termination.text.trim())
            ExitCode.OK
        }

    private fun reportMissingSubcommand(name: String): ExitCode {
        console.reportError("parse, local: `kumquatknot $name` requires a subcommand; see `kumquatknot $name --help`")
        return ExitCode.USAGE
    }

    private fun commands(): List<Command> =
        listOf(
            CheckCommand(console),
            GenerateCommand(console),
            ApplyCommand(console, connect),
            KeysCommand(console, connect),
            StatusCommand(console, connect),
            ProxyCommand(console),
            NodeCommand(console),
            ExplainCommand(console),
            StandinCommand(console),
            MeasureCommand(console),
            DemoCommand(console),
            VersionCommand(console),
        )

    private companion object {
        const val PROGRAM_NAME = "kumquatknot"
        val helpArguments = setOf("help", "--help", "-h")
    }
}
