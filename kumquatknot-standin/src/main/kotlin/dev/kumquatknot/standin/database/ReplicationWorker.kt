package dev.kumquatknot.standin.database

import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** Thread that keeps pulling for one replica; woken by [wake], and otherwise in time for the next entry. */
internal class ReplicationWorker(private val name: String, private val pull: () -> PullResult) : AutoCloseable {
    private val signal = Semaphore(0)
    private val thread = Thread(::work, "standin-replication-$name").apply { isDaemon = true }

    fun start() = thread.start()

    fun wake() = signal.release()

    override fun close() {
        thread.interrupt()
        thread.join()
    }

    private fun work() {
        try {
            while (!Thread.currentThread().isInterrupted) {
                val wait = minOf(pull().nextEntryIn ?: contactInterval, contactInterval)
                waitAtMost(wait.coerceAtLeast(shortestWait))
            }
        } catch (_: InterruptedException) {
            return
        }
    }

    private fun waitAtMost(wait: Duration) {
        signal.tryAcquire(wait.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        signal.drainPermits()
    }

    private companion object {
        val contactInterval = 50.milliseconds
        val shortestWait = 200.microseconds
    }
}
