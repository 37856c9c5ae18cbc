package dev.kumquatknot.standin.measure

import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs actions in the order of virtual time; those of the same moment in the order in which they were added. */
internal class EventLoop {
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.number })
    private var lastNumber = 0L

    var now: Duration = Duration.ZERO
        private set

    fun at(time: Duration, action: () -> Unit) {
        events.add(Event(maxOf(time, now), ++lastNumber, action))
    }

    fun after(delay: Duration, action: () -> Unit) = at(now + delay, action)

    /** Runs all events up to [end]. */
    fun runUntil(end: Duration) {
        while (true) {
            val next = events.peek()?.takeIf { it.at <= end } ?: break
            events.poll()
            now = next.at
            next.action()
        }
        now = end
    }

    private class Event(val at: Duration, val number: Long, val action: () -> Unit)
}
