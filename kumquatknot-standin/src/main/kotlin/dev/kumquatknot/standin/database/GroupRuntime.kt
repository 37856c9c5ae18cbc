package dev.kumquatknot.standin.database

import dev.kumquatknot.core.time.Clock
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Clock, timing, threads and random number generator that the members of one database group share. */
internal class GroupRuntime(
    val clock: Clock,
    val timing: DatabaseTiming,
    val pause: (Duration) -> Unit,
    seed: Long,
) : AutoCloseable {
    private val threadFactory = ThreadFactory { task -> Thread(task, "standin-database").apply { isDaemon = true } }
    private val workers = Executors.newCachedThreadPool(threadFactory)
    private val scheduler = ScheduledThreadPoolExecutor(1, threadFactory).apply { removeOnCancelPolicy = true }
    private val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)

    /** Runs [task] on a worker thread; drops it after [close]. */
    fun execute(task: () -> Unit) = unlessClosed { workers.execute(task) }

    /** Runs [task] on a worker thread after [delay]. */
    fun executeAfter(delay: Duration, task: () -> Unit) = unlessClosed {
        scheduler.schedule({ execute(task) }, delay.inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    /** Runs [task] on a worker thread after [delay], or at once on the calling thread if [delay] is zero. */
    fun runAfter(delay: Duration, task: () -> Unit) = if (delay > Duration.ZERO) executeAfter(delay, task) else task()

    /** Returns a random value, which the seed of the group determines. */
    @Synchronized
    fun randomBoolean(): Boolean = random.nextBoolean()

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
