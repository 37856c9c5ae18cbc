package dev.kumquatknot.core.platform

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import strikt.assertions.map

class StoreEraTrackerSpec {
    private val reports = ArrayList<EraReport>()
    private val tracker = StoreEraTracker(reports::add)

    @Nested
    inner class `an era` {
        @Test
        fun `that rises is in force and reported once`() {
            tracker.observe("4")
            tracker.observe("5")
            tracker.observe("5")
            expectThat(tracker.current).isEqualTo(StoreEra(5))
            expectThat(reports).containsExactly(
                EraReport.Changed(StoreEra(0), StoreEra(4)),
                EraReport.Changed(StoreEra(4), StoreEra(5)),
            )
        }

        @Test
        fun `that falls marks a response that no longer holds`() {
            tracker.observe("5")
            expectThat(tracker.observe("4")).isNull()
            expectThat(tracker.current).isEqualTo(StoreEra(5))
        }
    }

    @Nested
    inner class `a response without a usable era` {
        @Test
        fun `counts as one of the last good era and is reported once in a row`() {
            tracker.observe("5")
            reports.clear()
            expectThat(tracker.observe(null)).isEqualTo(StoreEra(5))
            expectThat(tracker.observe("five")).isEqualTo(StoreEra(5))
            expectThat(tracker.observe("-1")).isEqualTo(StoreEra(5))
            expectThat(reports).map { it is EraReport.Invalid }.containsExactly(true)
        }

        @Test
        fun `is reported again after a good one`() {
            listOf("5", null, "5", null).forEach(tracker::observe)
            expectThat(reports.filterIsInstance<EraReport.Invalid>().size).isEqualTo(2)
        }

        @Test
        fun `is not reported for a store that has never named an era`() {
            tracker.observe(null)
            expectThat(tracker.current).isEqualTo(StoreEra.UNKNOWN)
            expectThat(reports).isEmpty()
        }
    }
}
