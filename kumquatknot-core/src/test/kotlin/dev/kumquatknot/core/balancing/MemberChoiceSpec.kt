package dev.kumquatknot.core.balancing

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class MemberChoiceSpec {
    private val random = Random(7)
    private val choice = MemberChoice(random::nextDouble)

    private fun estimate(occupied: Double, age: Duration, slots: Int = 4, service: Duration = 20.milliseconds) =
        LoadEstimate(slots, service, occupied, age)

    private fun shareOfFirst(vararg estimates: LoadEstimate) =
        (1..DRAWS).count { choice.choose(estimates.toList()) == 0 }.toDouble() / DRAWS

    @Nested
    inner class `members with the same load` {
        @Test
        fun `are chosen in proportion to their slots`() {
            val share = shareOfFirst(
                estimate(6.0, 50.milliseconds, slots = 6),
                estimate(3.0, 50.milliseconds, slots = 3),
            )
            expectThat(share).isIn(0.63..0.70)
        }

        @Test
        fun `are chosen in proportion to their speed`() {
            val share = shareOfFirst(
                estimate(0.0, 50.milliseconds, service = 10.milliseconds),
                estimate(0.0, 50.milliseconds, service = 30.milliseconds),
            )
            expectThat(share).isIn(0.72..0.78)
        }
    }

    @Nested
    inner class `a busier member` {
        @Test
        fun `gets little where the estimate is recent`() {
            expectThat(shareOfFirst(estimate(12.0, Duration.ZERO), estimate(0.0, Duration.ZERO))).isLessThan(0.05)
        }

        @Test
        fun `gets more the older the estimate is, so that VMs do not all turn to the other one`() {
            val recent = shareOfFirst(estimate(12.0, 200.milliseconds), estimate(0.0, 200.milliseconds))
            val old = shareOfFirst(estimate(12.0, 900.milliseconds), estimate(0.0, 900.milliseconds))
            expectThat(old).isGreaterThan(recent + 0.1)
        }

        @Test
        fun `still gets some statements, without which its recovery would stay unknown`() {
            expectThat(shareOfFirst(estimate(36.0, Duration.ZERO), estimate(0.0, Duration.ZERO))).isGreaterThan(0.0)
        }
    }

    @Nested
    inner class `leaving for a member that costs more` {
        @Test
        fun `does not happen without a saving`() {
            repeat(100) { expectThat(choice.leaves(estimate(0.0, Duration.ZERO), Duration.ZERO)).isFalse() }
        }

        @Test
        fun `moves only a part of the load where the estimate is old`() {
            val moved = (1..DRAWS).count { choice.leaves(estimate(9.0, 800.milliseconds), 40.milliseconds) }
            expectThat(moved.toDouble() / DRAWS).isIn(0.15..0.25)
        }
    }

    @Test
    fun `a member that was never used gets as much as the known ones on average, and not next to nothing`() {
        val unmeasured = MemberLoad(4).estimate(Duration.ZERO)
        expectThat(shareOfFirst(unmeasured, estimate(2.0, 50.milliseconds, service = 1.milliseconds))).isIn(0.4..0.6)
    }

    @Test
    fun `an estimate without any observation can be chosen`() {
        expectThat(choice.choose(listOf(estimate(2.0, Duration.INFINITE)))).isEqualTo(0)
    }

    private companion object {
        const val DRAWS = 5_000
    }
}
