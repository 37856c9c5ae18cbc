package dev.kumquatknot.app.command

import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.platform.PlatformNode
import dev.kumquatknot.platform.PlatformSettings
import java.nio.file.Path
import java.util.concurrent.CountDownLatch

/** Runs one node on the users' platform, whose settings file the environment names. */
internal class NodeCommand(
    private val console: Console,
    private val environment: (String) -> String? = System::getenv,
) : Command("node", "Run one node on the users' platform until the process is ended") {
    override fun run(): ExitCode {
        val path = environment(PlatformSettings.PATH_VARIABLE) ?: PlatformSettings.DEFAULT_PATH
        return PlatformSettings.read(Path.of(path)).fold(
            { problem ->
                console.fail("settings, local: $problem")
                ExitCode.BAD_DATA
            },
            ::serve,
        )
    }

    private fun serve(settings: PlatformSettings): ExitCode {
        val node = PlatformNode(settings)
        val ended = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                node.stop()
                ended.countDown()
            },
        )
        node.start()
        ended.await()
        return ExitCode.OK
    }
}
