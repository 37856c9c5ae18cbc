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

/** Connects to the platform's object API at an address of host and port. */
public typealias ConnectPlatform = (address: String) -> ObjectStore

/**
 * The command line of the program.
 *
 * @param connect connects to the platform.
 */
@OptIn(ExperimentalCli::class)
public class CommandLine(
    private val console: Console,
    private val connect: ConnectPlatform = { HttpObjectStore(URI("http://$it")) },
) {
    /** Runs the command in [arguments]. */
    public fun run(arguments: List<String>): ExitCode {
        val commands = commands()
        val first = arguments.firstOrNull()
        return when {
            first == null || first in helpWords -> {
                console.out(HelpText.overview)
                ExitCode.OK
            }

            commands.none { it.name == first } -> {
                console.fail("parse, local: there is no command \"$first\"; `kumquatknot help` lists all")
                ExitCode.USAGE
            }

            else -> parse(arguments, commands)
        }
    }

    private fun parse(arguments: List<String>, commands: List<Command>): ExitCode {
        val parser = ArgParser(PROGRAM, strictSubcommandOptionsOrder = true)
        commands.forEach { parser.subcommands(it) }
        (commands + commands.flatMap { it.children } + parser).forEach(ParserTermination::throwInstead)
        return try {
            parser.parse(arguments.toTypedArray())
            val run = commands.flatMap { listOf(it) + it.children }.firstOrNull { it.exitCode != null }
            run?.exitCode ?: missingSubcommand(arguments.first())
        } catch (end: ParserTermination.Requested) {
            finish(end)
        }
    }

    private fun finish(end: ParserTermination.Requested): ExitCode =
        if (end.isError) {
            console.fail("parse, local: ${end.text.trim()}")
            ExitCode.USAGE
        } else {
            console.out(end.text.trim())
            ExitCode.OK
        }

    private fun missingSubcommand(name: String): ExitCode {
        console.fail("parse, local: `kumquatknot $name` needs a subcommand; `kumquatknot $name --help` lists them")
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
        const val PROGRAM = "kumquatknot"
        val helpWords = setOf("help", "--help", "-h")
    }
}
