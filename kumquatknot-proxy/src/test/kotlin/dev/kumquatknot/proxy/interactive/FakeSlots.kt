package dev.kumquatknot.proxy.interactive

import kotlin.time.Duration

/** Slots of a member on virtual time, with a first-in, first-out queue. */
internal class FakeSlots(private val slots: Int, private val loop: VirtualLoop) {
    private val waiting = ArrayDeque<() -> Unit>()
    private var used = 0

    /** Largest number of tasks that waited for a slot. */
    var longestQueue = 0
        private set

    /** Calls [done] after [time] in a slot. */
    fun run(time: Duration, done: () -> Unit) {
        if (used == slots) {
            waiting.addLast { run(time, done) }
            longestQueue = maxOf(longestQueue, waiting.size)
            return
        }
        used++
        loop.schedule(time) {
            used--
            waiting.removeFirstOrNull()?.invoke()
            done()
        }
    }
}
