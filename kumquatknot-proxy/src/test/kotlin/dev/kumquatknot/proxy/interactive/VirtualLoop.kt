package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.time.Clock
import java.time.Instant
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An event loop on virtual time, which passes only in [advance]. */
internal class VirtualLoop : Clock {
    private val tasks = PriorityQueue<Task>(compareBy<Task> { it.at }.thenBy { it.number })
    private var now = 1_000.milliseconds
    private var number = 0

    override fun elapsed(): Duration = now

    override fun instant(): Instant = Instant.ofEpochMilli(now.inWholeMilliseconds)

    fun schedule(delay: Duration, run: () -> Unit): Cancel {
        val task = Task(now + delay, number++, run)
        tasks += task
        return { tasks.remove(task) }
    }

    fun advance(time: Duration) {
        val until = now + time
        while (tasks.isNotEmpty() && tasks.peek().at <= until) {
            val task = tasks.poll()
            now = maxOf(now, task.at)
            task.run()
        }
        now = until
    }

    private class Task(val at: Duration, val number: Int, val run: () -> Unit)
}
