package dev.kumquatknot.standin.process

import java.util.concurrent.CountDownLatch

/**
 * A running stand-in, which serves until it is closed.
 *
 * @property readyLine one line for standard output with the addresses at which it serves.
 */
public class StandinProcess internal constructor(
    public val readyLine: String,
    private val stop: () -> Unit,
) : AutoCloseable {
    private val ended = CountDownLatch(1)

    /** Waits until this stand-in is closed; the termination signal of the process closes it. */
    public fun awaitEnd() {
        Runtime.getRuntime().addShutdownHook(Thread(::close))
        ended.await()
    }

    /** Stops the servers and releases [awaitEnd]; further calls do nothing. */
    @Synchronized
    override fun close() {
        if (ended.count == 0L) return
        stop()
        ended.countDown()
    }
}
