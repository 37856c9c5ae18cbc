package dev.kumquatknot.core.duty

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ObservationScheduleSpec {
    private val schedule = ObservationSchedule(900.milliseconds, 3.seconds, 5.seconds)

    private fun delay(renewal: Long?, now: Duration, rank: Int = 2, isActive: Boolean = false) =
        schedule.delayAfter(rank, isActive, renewal?.let { DutyRecord("vm", 1, it) }, now)

    @Test
    fun `candidates, the holder and all VMs while there is no record act at the renewal interval`() {
        expectThat(delay(1, 0.seconds, rank = 0)).isEqualTo(900.milliseconds)
        expectThat(delay(1, 5.seconds, rank = 1)).isEqualTo(900.milliseconds)
        expectThat(delay(1, 10.seconds, isActive = true)).isEqualTo(900.milliseconds)
        expectThat(delay(null, 15.seconds)).isEqualTo(900.milliseconds)
    }

    @Test
    fun `a record that is renewed as usual is read every 5 s`() {
        delay(1, 0.seconds)
        expectThat(delay(6, 5.seconds)).isEqualTo(5.seconds)
        expectThat(delay(11, 10.seconds)).isEqualTo(5.seconds)
    }

    @Test
    fun `a record that is seen first or was renewed too seldom is read when its lease has ended`() {
        expectThat(delay(1, 0.seconds)).isEqualTo(3_001.milliseconds)
        delay(6, 5.seconds)
        expectThat(delay(8, 10.seconds)).isEqualTo(3_001.milliseconds)
    }
}
