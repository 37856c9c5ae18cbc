package dev.kumquatknot.core.platform

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WatchPacingSpec {
    private val connectTimeout = 800.milliseconds
    private val answerTimeout = 700.milliseconds

    private fun pacing(recovery: Duration) = WatchPacing(recovery, connectTimeout, answerTimeout)

    /**
     * Plays the calls of a watch whose answers are lost from [silentFrom] to [silentUntil]. Calls that are sent
     * afterwards are answered, but for the first [silentConnections], whose connections are older than the silence.
     *
     * @return the time of the first answer after the silence.
     */
    private fun answeredAt(
        pacing: WatchPacing,
        silentFrom: Duration,
        silentUntil: Duration,
        silentConnections: Int,
        isConnecting: () -> Boolean,
    ): Duration {
        var now = Duration.ZERO
        var failures = 0
        var silentLeft = silentConnections
        while (true) {
            val wait = if (failures == 0) pacing.wait else Duration.ZERO
            val isAnswered = if (now < silentFrom) now + wait < silentFrom else now >= silentUntil && silentLeft == 0
            if (isAnswered && now >= silentUntil) return now
            if (isAnswered) {
                now += wait
                failures = 0
                continue
            }
            if (now >= silentUntil) silentLeft--
            failures++
            now += (if (isConnecting() && now < silentUntil) connectTimeout else Duration.ZERO) + wait + answerTimeout
            now += pacing.delayAfter(failures)
        }
    }

    @Nested
    inner class `a change that is made during an outage` {
        @TestFactory
        fun `is read within the time for recovery, however the calls fall`() =
            listOf(4.seconds, 5.seconds, 6.seconds, 15.seconds).map { recovery ->
                DynamicTest.dynamicTest("$recovery") {
                    val random = Random(SEED)
                    repeat(RUNS) {
                        val from = random.nextLong(20_000).milliseconds
                        val until = from + random.nextLong(20_000).milliseconds
                        val answered = answeredAt(pacing(recovery), from, until, 0, random::nextBoolean)
                        expectThat(answered - until).isLessThanOrEqualTo(recovery - EXCHANGE)
                    }
                }
            }
    }

    @Nested
    inner class `a change that is made when open connections go silent` {
        @TestFactory
        fun `is read within the time for recovery, though a second silent connection is used`() =
            listOf(4.seconds, 5.seconds, 6.seconds).map { recovery ->
                DynamicTest.dynamicTest("$recovery") {
                    val random = Random(SEED)
                    repeat(RUNS) {
                        val from = random.nextLong(20_000).milliseconds
                        val answered = answeredAt(pacing(recovery), from, from, 1) { false }
                        expectThat(answered - from).isLessThanOrEqualTo(recovery - EXCHANGE)
                    }
                }
            }
    }

    @Nested
    inner class `a store that answers` {
        @Test
        fun `is called once in half of the time for recovery or less often`() {
            expectThat(pacing(4.seconds).wait).isEqualTo(2.seconds)
            expectThat(pacing(6.seconds).wait).isGreaterThan(3.seconds)
        }
    }

    @Nested
    inner class `a store that does not answer` {
        @Test
        fun `is called less often with each failure, down to once a second`() {
            expectThat(pacing(6.seconds).delayAfter(1)).isEqualTo(100.milliseconds)
            expectThat(pacing(6.seconds).delayAfter(5)).isEqualTo(500.milliseconds)
            expectThat(pacing(15.seconds).delayAfter(1000)).isEqualTo(1.seconds)
        }
    }

    private companion object {
        const val SEED = 24L
        const val RUNS = 2_000

        /** Time that is left for the answered call itself. */
        val EXCHANGE = 300.milliseconds
    }
}
