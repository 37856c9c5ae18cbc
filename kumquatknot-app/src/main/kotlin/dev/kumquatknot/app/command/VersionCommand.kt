package dev.kumquatknot.app.command

import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode

/** Prints the version from the JAR's manifest, or `development` where there is none. */
internal class VersionCommand(private val console: Console) : Command("version", "Print the version") {
    override fun run(): ExitCode {
        console.out("kumquatknot ${VersionCommand::class.java.`package`.implementationVersion ?: "development"}")
        return ExitCode.OK
    }
}
