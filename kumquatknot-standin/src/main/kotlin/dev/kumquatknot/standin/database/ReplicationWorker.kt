package dev.kumquatknot.standin.database

import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * Thread that pulls log entries for one replica until it is closed. Between pulls it waits for [wake], until the next
 * entry becomes visible or for the maximum pull interval, whichever comes first.
 */
internal class ReplicationWorker(private val name: String, private val pull: () -> PullResult) : AutoCloseable {
    private val wakeSignal = Semaphore(0)
    private val thread = Thread(::pullUntilInterrupted, "standin-replication-$name").apply { isDaemon = true }

    fun start() = thread.start()

    fun wake() = wakeSignal.release()

    override fun close() {
        thread.interrupt()
        thread.join()
    }

    private fun pullUntilInterrupted() {
        try {
            while (!Thread.currentThread().isInterrupted) {
                val wait = minOf(pull().nextEntryDelay ?: maximumPullInterval, maximumPullInterval)
                waitAtMost(wait.coerceAtLeast(minimumWait))
            }
        } catch (_: InterruptedException) {
            return
        }
    }

    private fun waitAtMost(wait: Duration) {
        wakeSignal.tryAcquire(wait.inWholeNanoseconds, TimeUnit.NANOSECONDS)
        wakeSignal.drainPermits()
    }

    private companion object {
        val maximumPullInterval = 50.milliseconds
        val minimumWait = 200.microseconds
    }
}
