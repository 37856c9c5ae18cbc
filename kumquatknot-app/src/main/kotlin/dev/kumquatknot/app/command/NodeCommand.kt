package dev.kumquatknot.app.command

import arrow.core.Either
import dev.kumquatknot.app.Console
import dev.kumquatknot.app.ExitCode
import dev.kumquatknot.platform.PlatformNode
import dev.kumquatknot.platform.PlatformSettings
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Runs one node on the users' platform; an environment variable holds the path of its settings file. */
internal class NodeCommand(
    private val console: Console,
    private val environment: (String) -> String? = System::getenv,
) : Command("node", "Run one node on the users' platform until the process is ended") {
    private val exitAfterSeconds by option(
        ArgType.Int,
        "exit-after",
        description = "end after so many seconds, for trials",
    )

    private val preload by option(
        ArgType.Boolean,
        "preload",
        description = "load all classes, for the class-data archive",
    )
        .default(false)

    override fun run(): ExitCode =
        readSettings().fold(
            { problem ->
                console.reportError("settings, local: $problem")
                ExitCode.BAD_DATA
            },
            ::serve,
        )

    private fun readSettings(): Either<String, PlatformSettings> =
        PlatformSettings.read(Path.of(environment(PlatformSettings.PATH_VARIABLE) ?: PlatformSettings.DEFAULT_PATH))

    private fun serve(settings: PlatformSettings): ExitCode {
        if (preload) console.out("${ClassPreloader.load()} classes are loaded")
        val node = PlatformNode(settings)
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                node.stop()
                stopped.countDown()
            },
        )
        ReloadSignal.install { node.reload(readSettings()) }
        node.start()
        val limitSeconds = exitAfterSeconds
        if (limitSeconds == null) stopped.await() else stopped.await(limitSeconds.toLong(), TimeUnit.SECONDS)
        return ExitCode.OK
    }
}
