package dev.kumquatknot.app.command

import dev.kumquatknot.app.ConnectPlatform
import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.operations.configuration.ApplyFailure
import dev.kumquatknot.operations.configuration.ApplyOptions
import dev.kumquatknot.operations.configuration.ConfigurationApplier
import dev.kumquatknot.operations.configuration.ConfigurationUpdate
import dev.kumquatknot.operations.configuration.SessionKeyStore
import dev.kumquatknot.operations.questionnaire.ConfigurationGenerator
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required

/** Generates the configuration from a folder with answers and stores it through the platform's object API. */
internal class ApplyCommand(private val console: Console, private val connect: ConnectPlatform) :
    Command("apply", "Put the configuration into the platform's object API") {
    private val folder by argument(ArgType.String, "answers", "Folder with fleet.json and teams/")
    private val platform by option(ArgType.String, "platform", "p", "Address of the platform's object API").required()
    private val dryRun by option(ArgType.Boolean, "dry-run", description = "Only show what would change").default(false)
    private val confirm by option(ArgType.Boolean, "confirm", description = "Make dangerous changes").default(false)
    private val expectedNumber by option(
        ArgType.Int,
        "expect",
        description = "Number that the configuration in force must have",
    )

    override fun run(): ExitCode =
        console.withAnswers(folder) { answers ->
            val store = connect(platform)
            val desired = ConfigurationGenerator.generate(answers)
            if (dryRun) preview(store, desired) else apply(store, desired)
        }

    private fun preview(store: ObjectStore, desired: FleetConfiguration): ExitCode =
        ConfigurationApplier(store).preview(desired).fold(::reportFailure) { update ->
            printUpdate(update, "would become")
            update.changes.mapNotNull { it.danger }.distinct().forEach { console.out("  needs --confirm: $it") }
            ExitCode.OK
        }

    private fun apply(store: ObjectStore, desired: FleetConfiguration): ExitCode {
        val keys = SessionKeyStore(store).ensure()
        keys.onLeft { console.reportError(it.detail) }
        if (keys.isLeft()) return ExitCode.UNAVAILABLE
        val options = ApplyOptions(expectedNumber?.toLong(), confirm)
        return ConfigurationApplier(store).apply(desired, options).fold(::reportFailure) { update ->
            printUpdate(update, "is")
            ExitCode.OK
        }
    }

    private fun printUpdate(update: ConfigurationUpdate, verb: String) {
        if (update.changes.isEmpty()) {
            console.out("configuration ${update.number} is in force and has this content already")
        } else {
            update.changes.forEach { console.out("  ${it.text}") }
            console.out("configuration ${update.number} $verb the one in force")
        }
    }

    private fun reportFailure(failure: ApplyFailure): ExitCode {
        console.reportError(failure.detail)
        return when (failure) {
            is ApplyFailure.Unavailable, is ApplyFailure.Unknown -> ExitCode.UNAVAILABLE
            is ApplyFailure.TooLarge -> ExitCode.BAD_DATA
            else -> ExitCode.FAILED
        }
    }
}
