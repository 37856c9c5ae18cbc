package dev.kumquatknot.proxy.transaction

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CommittedNumbersSpec {
    private val numbers = CommittedNumbers(capacity = 2)

    @Nested
    inner class `a set of committed transactions` {
        @Test
        fun `contains the added numbers and none between them`() {
            listOf(5L, 7L).forEach(numbers::add)
            expectThat((5L..8L).filter(numbers::mayContain)).isEqualTo(listOf(5L, 7L))
        }

        @Test
        fun `counts every number up to the highest evicted one as possibly committed`() {
            listOf(9L, 5L, 7L).forEach(numbers::add)
            expectThat((3L..9L).filter(numbers::mayContain)).isEqualTo(listOf(3L, 4L, 5L, 7L, 9L))
        }
    }
}
