package dev.kumquatknot.standin.database

import dev.kumquatknot.core.time.Clock
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Time, threads and chance of one database group. */
internal class GroupRuntime(
    val clock: Clock,
    val timing: DatabaseTiming,
    val pause: (Duration) -> Unit,
    seed: Long,
) : AutoCloseable {
    private val threads = ThreadFactory { task -> Thread(task, "standin-database").apply { isDaemon = true } }
    private val workers = Executors.newCachedThreadPool(threads)
    private val scheduler = ScheduledThreadPoolExecutor(1, threads).apply { removeOnCancelPolicy = true }
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)

    /** Runs [task] on a worker thread; after [close] it is dropped. */
    fun execute(task: () -> Unit) = unlessClosed { workers.execute(task) }

    /** Runs [task] on a worker thread after [delay]. */
    fun later(delay: Duration, task: () -> Unit) = unlessClosed {
        scheduler.schedule({ execute(task) }, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    /** Runs [task] after [delay]; at once on this thread where there is none. */
    fun after(delay: Duration, task: () -> Unit) = if (delay > Duration.ZERO) later(delay, task) else task()

    /** Tosses a coin. */
    @Synchronized
    fun chance(): Boolean = random.nextBoolean()

    override fun close() {
        scheduler.shutdownNow()
        workers.shutdownNow()
    }

    private fun unlessClosed(action: () -> Unit) {
        try {
            action()
        } catch (failure: RejectedExecutionException) {
            if (!workers.isShutdown) throw failure
        }
    }
}
