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

class PrimaryBeliefSpec {
    private val belief = PrimaryTracker()
    private val first = MemberName("a")
    private val second = MemberName("b")

    @Nested
    inner class `a proof` {
        @Test
        fun `goes before a claim in discovery`() {
            belief.claim(second)
            belief.prove(first, 10.milliseconds)
            expectThat(belief.primary).isEqualTo(first)
        }

        @Test
        fun `tells a change of primary once`() {
            expectThat(belief.prove(first, 10.milliseconds)).isTrue()
            expectThat(belief.prove(first, 20.milliseconds)).isFalse()
            expectThat(belief.prove(second, 30.milliseconds)).isTrue()
        }

        @Test
        fun `that was asked for earlier does not replace a later one`() {
            belief.prove(second, 30.milliseconds)
            belief.prove(first, 20.milliseconds)
            expectThat(belief.primary).isEqualTo(second)
        }

        @Test
        fun `of the same member after a refusal is no change of primary`() {
            belief.prove(first, 10.milliseconds)
            belief.disprove(first, 20.milliseconds)
            expectThat(belief.prove(first, 30.milliseconds)).isFalse()
        }
    }

    @Nested
    inner class `a refusal` {
        @Test
        fun `ends the belief`() {
            belief.prove(first, 10.milliseconds)
            belief.disprove(first, 20.milliseconds)
            expectThat(belief.primary).isNull()
            expectThat(belief.isProved).isFalse()
        }

        @Test
        fun `of another member changes nothing`() {
            belief.prove(first, 10.milliseconds)
            belief.disprove(second, 20.milliseconds)
            expectThat(belief.primary).isEqualTo(first)
        }

        @Test
        fun `that was asked for before the proof changes nothing`() {
            belief.prove(first, 20.milliseconds)
            belief.disprove(first, 10.milliseconds)
            expectThat(belief.primary).isEqualTo(first)
        }
    }
}
