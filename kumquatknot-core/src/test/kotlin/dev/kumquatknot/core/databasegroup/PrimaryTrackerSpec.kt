package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.identity.MemberName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.milliseconds

class PrimaryTrackerSpec {
    private val tracker = PrimaryTracker()
    private val first = MemberName("a")
    private val second = MemberName("b")

    @Nested
    inner class `a proof` {
        @Test
        fun `takes precedence over a claim in discovery`() {
            tracker.claim(second)
            tracker.prove(first, 10.milliseconds)
            expectThat(tracker.primary).isEqualTo(first)
        }

        @Test
        fun `reports a change of primary once`() {
            expectThat(tracker.prove(first, 10.milliseconds)).isTrue()
            expectThat(tracker.prove(first, 20.milliseconds)).isFalse()
            expectThat(tracker.prove(second, 30.milliseconds)).isTrue()
        }

        @Test
        fun `from an earlier request does not replace that from a later one`() {
            tracker.prove(second, 30.milliseconds)
            tracker.prove(first, 20.milliseconds)
            expectThat(tracker.primary).isEqualTo(second)
        }

        @Test
        fun `of the same member after a refusal does not count as a change of primary`() {
            tracker.prove(first, 10.milliseconds)
            tracker.disprove(first, 20.milliseconds)
            expectThat(tracker.prove(first, 30.milliseconds)).isFalse()
        }
    }

    @Nested
    inner class `a refusal` {
        @Test
        fun `clears the proved primary`() {
            tracker.prove(first, 10.milliseconds)
            tracker.disprove(first, 20.milliseconds)
            expectThat(tracker.primary).isNull()
            expectThat(tracker.isProved).isFalse()
        }

        @Test
        fun `of another member changes nothing`() {
            tracker.prove(first, 10.milliseconds)
            tracker.disprove(second, 20.milliseconds)
            expectThat(tracker.primary).isEqualTo(first)
        }

        @Test
        fun `from a request before that of the proof changes nothing`() {
            tracker.prove(first, 20.milliseconds)
            tracker.disprove(first, 10.milliseconds)
            expectThat(tracker.primary).isEqualTo(first)
        }
    }
}
