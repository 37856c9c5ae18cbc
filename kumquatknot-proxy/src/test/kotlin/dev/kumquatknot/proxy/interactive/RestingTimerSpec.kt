package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.proxy.event.EventLog
import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RestingTimerSpec {
    private val loop = VirtualLoop()
    private val environment =
        NodeEnvironment(loop, loop::schedule, { _, _, _ -> error("no member") }, EventLog(), InteractiveLimits())
    private val startedAt = loop.elapsed()
    private val runs = ArrayList<Long>()
    private var due: (Duration) -> Duration = { Duration.INFINITE }
    private val timer = RestingTimer(environment, 100.milliseconds) { now ->
        runs += (now - startedAt).inWholeMilliseconds
        due(now)
    }

    @Test
    fun `runs on each tick while there is something to do`() {
        due = { it }
        timer.start()
        loop.advance(350.milliseconds)
        expectThat(runs).containsExactly(100, 200, 300)
    }

    @Test
    fun `runs once a second while there is nothing to do, which bounds the effect of a missing wake-up`() {
        timer.start()
        loop.advance(3.seconds)
        expectThat(runs).containsExactly(100, 1_100, 2_100)
    }

    @Test
    fun `runs on the first tick on which it is due`() {
        due = { it + 310.milliseconds }
        timer.start()
        loop.advance(1.seconds)
        expectThat(runs).containsExactly(100, 500, 900)
    }

    @Test
    fun `runs on the next tick after it was woken, and once however often it was`() {
        timer.start()
        loop.advance(250.milliseconds)
        repeat(3) { timer.wake() }
        loop.advance(150.milliseconds)
        expectThat(runs).containsExactly(100, 300)
    }

    @Test
    fun `is not woken before its start`() {
        timer.wake()
        loop.advance(1.seconds)
        expectThat(runs).containsExactly()
    }

    @Test
    fun `goes on after an unexpected error, which would end polls and the expiry of requests for good`() {
        due = { error("unexpected") }
        timer.start()
        expectCatching { loop.advance(100.milliseconds) }.isFailure()
        due = { Duration.INFINITE }
        loop.advance(200.milliseconds)
        expectThat(runs).containsExactly(100, 200)
    }
}
