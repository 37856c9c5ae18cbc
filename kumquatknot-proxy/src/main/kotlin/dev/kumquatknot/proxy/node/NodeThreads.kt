package dev.kumquatknot.proxy.node

import java.util.concurrent.ExecutorService
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadFactory
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Thread pools of a node.
 *
 * @property timer runs short scheduled tasks, which never block.
 * @property control runs control calls, which block up to their timeouts.
 * @property work runs relayed requests, which wait for slots and members.
 */
internal class NodeThreads(vm: String, workers: Int) : AutoCloseable {
    val timer: ScheduledExecutorService = Executors.newScheduledThreadPool(TIMER_THREADS, named("$vm-timer"))
    val control: ExecutorService = onDemand(CONTROL_THREADS, named("$vm-control"))
    val work: ExecutorService = onDemand(workers * RELAYED_WORK_FACTOR, named("$vm-work"))

    override fun close() {
        listOf(timer, control, work).forEach { it.shutdownNow() }
    }

    private fun onDemand(limit: Int, factory: ThreadFactory): ExecutorService =
        ThreadPoolExecutor(0, limit, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS, SynchronousQueue(), factory)

    private fun named(prefix: String): ThreadFactory {
        val number = AtomicInteger()
        return ThreadFactory { task -> Thread(task, "$prefix-${number.incrementAndGet()}").apply { isDaemon = true } }
    }

    private companion object {
        const val TIMER_THREADS = 2
        const val CONTROL_THREADS = 256
        const val RELAYED_WORK_FACTOR = 4
        const val KEEP_ALIVE_SECONDS = 20L
    }
}
