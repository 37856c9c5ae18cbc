package dev.kumquatknot.standin.platform

import dev.kumquatknot.proxy.http.WorkerPoolServer
import dev.kumquatknot.proxy.http.WorkerPoolSettings
import org.http4k.server.asServer
import kotlin.time.Duration.Companion.seconds

/** Serves [platform] over HTTP. A waiting watch occupies one worker thread. */
public class PlatformServer(private val platform: PlatformStandin) : AutoCloseable {
    private val settings = platform.settings
    private val server = PlatformRoutes(platform).handler.asServer(
        WorkerPoolServer(
            WorkerPoolSettings(
                address = settings.address,
                port = settings.port,
                workers = WORKERS,
                maximumBodyBytes = settings.maximumValueBytes + BODY_MARGIN_BYTES,
                lingerTime = 0.seconds,
                stopTimeout = 0.seconds,
            ),
        ),
    )

    /** Starts listening. */
    public fun start() {
        server.start()
    }

    /** The address at which the server listens, as host and port. */
    public fun address(): String = "${settings.address}:${server.port()}"

    /** Stops listening and closes all connections. */
    override fun close() {
        server.stop()
    }

    private companion object {
        const val WORKERS = 256
        const val BODY_MARGIN_BYTES = 1_024
    }
}
