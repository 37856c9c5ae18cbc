package dev.kumquatknot.proxy.pool

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class MemberConnectionCountSpec {
    private var now: Duration = 10.seconds
    private val count = MemberConnectionCount(reserve = 2) { now }

    @Test
    fun `an unknown count leaves no connection but the first`() {
        expectThat(count.isKnown).isFalse()
        expectThat(count.free(own = 0, maximum = 20) > 0).isFalse()
    }

    @Test
    fun `a count leaves what others and the reserve do not take`() {
        count.record(total = 9, own = 4, maximum = 20)
        expectThat(count.free(own = 6, maximum = 20)).isEqualTo(7)
    }

    @Test
    fun `a full member counts as scarce for a while`() {
        count.record(total = 18, own = 4, maximum = 20)
        expectThat(count.wasFullRecently).isTrue()
        now += 5.seconds
        expectThat(count.wasFullRecently).isFalse()
    }

    @Test
    fun `a count is requested once at a time and not right after the last one`() {
        count.record(total = 18, own = 4, maximum = 20)
        expectThat(count.beginRequest()).isFalse()
        now += 400.milliseconds
        expectThat(count.beginRequest()).isTrue()
        expectThat(count.beginRequest()).isFalse()
        count.endRequest()
        expectThat(count.beginRequest()).isTrue()
    }

    @Test
    fun `a count is old after three seconds`() {
        expectThat(count.isOld).isFalse()
        count.record(total = 4, own = 4, maximum = 20)
        now += 3_001.milliseconds
        expectThat(count.isOld).isTrue()
    }
}
