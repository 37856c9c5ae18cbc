package dev.kumquatknot.core.balancing

import dev.kumquatknot.core.identity.VmName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class MemberLoadSpec {
    private val load = MemberLoad(4)
    private var now = 10.seconds

    private fun answer(response: Duration) {
        load.recordSent(now)
        val sentAt = now
        now += response
        load.recordAnswer(sentAt, now)
    }

    private fun occupied() = load.estimate(now).occupied

    private fun report(vm: String, busy: Int, queued: Int = 0) =
        load.recordReport(VmName(vm), busy, queued, Duration.ZERO, now)

    @Nested
    inner class `a response` {
        @Test
        fun `as short as the shortest one shows free slots`() {
            repeat(10) { answer(20.milliseconds) }
            expectThat(load.estimate(now).expectedWait).isEqualTo(Duration.ZERO)
        }

        @Test
        fun `that took long shows statements that wait`() {
            repeat(10) { answer(20.milliseconds) }
            answer(100.milliseconds)
            expectThat(load.estimate(now).expectedWait).isGreaterThan(20.milliseconds)
        }

        @Test
        fun `loses its weight with its age, so that a member that was busy is used again`() {
            repeat(10) { answer(20.milliseconds) }
            answer(100.milliseconds)
            val fresh = occupied()
            now += 2.seconds
            expectThat(occupied()).isLessThan(fresh / 2)
        }

        @Test
        fun `that refuses a statement shows a full queue`() {
            load.recordSent(now)
            load.recordRefusal(now, now + 2.milliseconds)
            now += 2.milliseconds
            expectThat(occupied()).isEqualTo(36.0)
        }

        @Test
        fun `is compared with the shortest one of the last minute, so that a slower member is not busy for good`() {
            repeat(10) { answer(5.milliseconds) }
            repeat(4_000) { answer(20.milliseconds) }
            expectThat(load.estimate(now).expectedWait).isEqualTo(Duration.ZERO)
        }
    }

    @Nested
    inner class `the own statements` {
        @Test
        fun `sent since the observation count until they are answered`() {
            repeat(10) { answer(20.milliseconds) }
            val before = occupied()
            now += 1.milliseconds
            repeat(3) { load.recordSent(now) }
            expectThat(occupied()).isGreaterThan(before + 2.9)
            load.recordAnswer(now, now + 20.milliseconds)
            now += 20.milliseconds
            expectThat(occupied()).isLessThan(before + 0.1)
        }

        @Test
        fun `that are never answered are forgotten`() {
            val before = occupied()
            load.recordSent(now)
            now += 2.seconds
            expectThat(occupied()).isEqualTo(before)
        }
    }

    @Nested
    inner class `a report` {
        @Test
        fun `of each VM adds what it has at the member`() {
            report("one", busy = 2, queued = 3)
            report("two", busy = 1)
            expectThat(occupied()).isEqualTo(6.0)
        }

        @Test
        fun `replaces the last one of the same VM`() {
            report("one", busy = 4)
            report("one", busy = 1)
            expectThat(occupied()).isEqualTo(1.0)
        }

        @Test
        fun `of a VM that was lost no longer counts`() {
            report("lost", busy = 4)
            now += 3.seconds
            report("one", busy = 1)
            expectThat(occupied()).isEqualTo(1.0)
        }

        @Test
        fun `older than the last observation changes nothing`() {
            report("one", busy = 2)
            load.recordReport(VmName("two"), 4, 30, Duration.ZERO, now - 100.milliseconds)
            expectThat(occupied()).isEqualTo(2.0)
        }
    }

    @Test
    fun `nothing is expected to wait at a member that was never used`() {
        expectThat(load.estimate(now).expectedWait).isEqualTo(Duration.ZERO)
    }
}
