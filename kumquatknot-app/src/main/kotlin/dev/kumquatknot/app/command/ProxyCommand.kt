package dev.kumquatknot.app.command

import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.operations.settings.NodeSettings
import dev.kumquatknot.operations.settings.NodeSettingsReader
import dev.kumquatknot.proxy.node.NodeLauncher
import dev.kumquatknot.proxy.node.RunningNode
import kotlinx.cli.ArgType
import java.nio.file.Path
import java.util.concurrent.CountDownLatch

/** Runs one node until the process is ended; the shutdown hook then stops the node gracefully. */
internal class ProxyCommand(
    private val console: Console,
) : Command("proxy", "Run one node until the process is ended") {
    private val settingsFile by argument(ArgType.String, "settings", "JSON file with the settings of the node")

    override fun run(): ExitCode =
        NodeSettingsReader.read(Path.of(settingsFile)).fold(
            { problems ->
                console.reportError(problems)
                ExitCode.BAD_DATA
            },
            ::launch,
        )

    private fun launch(settings: NodeSettings): ExitCode =
        NodeLauncher().build(settings).fold(
            { failure ->
                console.reportError("launch, platform: ${failure.detail}")
                ExitCode.UNAVAILABLE
            },
            { node -> serve(settings, node) },
        )

    private fun serve(settings: NodeSettings, node: RunningNode): ExitCode {
        node.start()
        console.out("node ${settings.vm} serves callers at port ${node.callerPort}, operators at ${node.operatorPort}")
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                node.stop()
                stopped.countDown()
            },
        )
        stopped.await()
        return ExitCode.OK
    }
}
