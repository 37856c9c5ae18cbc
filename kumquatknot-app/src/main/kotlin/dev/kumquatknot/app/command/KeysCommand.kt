package dev.kumquatknot.app.command

import dev.kumquatknot.app.ConnectPlatform
import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.operations.configuration.SessionKeyStore
import kotlinx.cli.ArgType
import kotlinx.cli.required

/** Manages the keys that sign session tokens. */
internal class KeysCommand(console: Console, connect: ConnectPlatform) :
    CommandGroup("keys", "Keys of session tokens") {
    override val children: List<Command> = registerSubcommands(RotateKeysCommand(console, connect))
}

/** Creates a new signing key for session tokens. Tokens of the previous key stay valid until the next rotation. */
internal class RotateKeysCommand(private val console: Console, private val connect: ConnectPlatform) :
    Command("rotate", "Make a new key for session tokens and keep the previous one") {
    private val platform by option(ArgType.String, "platform", "p", "Address of the platform's object API").required()

    override fun run(): ExitCode =
        SessionKeyStore(connect(platform)).rotate().fold(
            { failure ->
                console.reportError(failure.detail)
                if (failure.effectKnown) ExitCode.FAILED else ExitCode.UNAVAILABLE
            },
            { keys ->
                console.out("key ${keys.number} signs session tokens from now on")
                ExitCode.OK
            },
        )
}
