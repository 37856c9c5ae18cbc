package dev.kumquatknot.proxy.forwarding

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class SilenceDetectorSpec {
    private val detector = SilenceDetector(0.milliseconds, 150.milliseconds, 350.milliseconds)

    /** Checks when the detector asks for it, from [from] on; returns the time at which the VM counts as silent. */
    private fun silentAt(from: Duration, detector: SilenceDetector = this.detector): Duration {
        var now = from
        while (true) {
            when (val check = detector.check(now)) {
                is SilenceCheck.Wait -> now += check.delay
                is SilenceCheck.Ping -> now += check.delay
                is SilenceCheck.Silent -> return now
            }
        }
    }

    @Test
    fun `pings after 150 ms and gives up 350 ms later`() {
        expectThat(detector.check(150.milliseconds)).isA<SilenceCheck.Ping>()
        expectThat(silentAt(300.milliseconds)).isEqualTo(500.milliseconds)
    }

    @Test
    fun `starts anew with each sign of life`() {
        detector.check(150.milliseconds)
        detector.recordSign(160.milliseconds)
        expectThat(silentAt(300.milliseconds)).isEqualTo(660.milliseconds)
    }

    @Test
    fun `gives up exactly 500 ms after the last sign, whenever that was`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val detector = SilenceDetector(0.milliseconds, 150.milliseconds, 350.milliseconds)
            var now = 150.milliseconds
            var lastSign = 0.milliseconds
            repeat(20) {
                val delay = when (val check = detector.check(now)) {
                    is SilenceCheck.Wait -> check.delay
                    is SilenceCheck.Ping -> check.delay
                    is SilenceCheck.Silent -> error("silent at $now, last sign at $lastSign")
                }
                lastSign = now + delay * random.nextDouble()
                detector.recordSign(lastSign)
                now += delay
            }
            expectThat(silentAt(now, detector)).isEqualTo(lastSign + 500.milliseconds)
        }
    }

    @Test
    fun `does not take a pause of its own VM for silence of the other one`() {
        detector.check(150.milliseconds)
        expectThat(silentAt(3_000.milliseconds)).isEqualTo(3_500.milliseconds)
    }
}
