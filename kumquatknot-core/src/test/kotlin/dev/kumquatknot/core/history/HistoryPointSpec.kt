package dev.kumquatknot.core.history

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class HistoryPointSpec {
    private fun point(term: Long, position: Long) = HistoryPoint(Term(term), LogPosition(position))

    @Nested
    inner class `within one term` {
        @Test
        fun `covers lower positions and its own`() {
            expectThat(point(3, 10).covers(point(3, 9))).isTrue()
            expectThat(point(3, 10).covers(point(3, 10))).isTrue()
        }

        @Test
        fun `does not cover a higher position`() {
            expectThat(point(3, 10).covers(point(3, 11))).isFalse()
        }
    }

    @Nested
    inner class `across terms` {
        @Test
        fun `covers every point of an earlier term`() {
            expectThat(point(4, 7).covers(point(3, 99))).isTrue()
        }

        @Test
        fun `never covers a point of a later term`() {
            expectThat(point(3, 99).covers(point(4, 1))).isFalse()
        }
    }
}
