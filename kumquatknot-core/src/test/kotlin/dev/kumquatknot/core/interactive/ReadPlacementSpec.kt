package dev.kumquatknot.core.interactive

import dev.kumquatknot.core.balancing.LoadEstimate
import dev.kumquatknot.core.balancing.MemberChoice
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isIn
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class ReadPlacementSpec {
    private val placement = ReadPlacement()
    private val required = point(10)

    private fun point(number: Long) = HistoryPoint(Term(1), LogPosition(number))

    private fun candidate(
        name: String,
        at: Long = 12,
        wait: Duration = 0.milliseconds,
        remote: Boolean = false,
        primary: Boolean = false,
        age: Duration = 10.milliseconds,
    ) = ReadCandidate(MemberName(name), primary, point(at), age, wait, 2.milliseconds, remote)

    private fun chosen(vararg candidates: ReadCandidate) =
        placement.choose(candidates.toList(), required)?.name?.value

    @Nested
    inner class `a read` {
        @Test
        fun `stays in its region while the wait there is short`() {
            expectThat(
                chosen(candidate("near", wait = 40.milliseconds), candidate("far", remote = true)),
            ).isEqualTo("near")
        }

        @Test
        fun `leaves its region where the wait there is long`() {
            expectThat(
                chosen(candidate("near", wait = 90.milliseconds), candidate("far", remote = true)),
            ).isEqualTo("far")
        }

        @Test
        fun `does not go to a replica that was recently observed behind the required point`() {
            expectThat(chosen(candidate("behind", at = 9), candidate("far", remote = true))).isEqualTo("far")
        }

        @Test
        fun `may go to a replica whose last observed point is stale`() {
            expectThat(chosen(candidate("stale", at = 9, age = 400.milliseconds))).isEqualTo("stale")
        }

        @Test
        fun `goes to the primary if the replicas are behind, not if one is slightly busier`() {
            expectThat(chosen(candidate("replica", wait = 20.milliseconds), candidate("primary", primary = true)))
                .isEqualTo("replica")
            expectThat(chosen(candidate("replica", at = 9), candidate("primary", primary = true))).isEqualTo("primary")
        }

        @Test
        fun `has no candidate if all replicas are behind`() {
            expectThat(chosen(candidate("replica", at = 9))).isNull()
        }
    }

    @Nested
    inner class `a read placed by load` {
        private val random = Random(3)
        private val balanced = ReadPlacement(choice = MemberChoice(random::nextDouble))

        private fun loaded(
            name: String,
            occupied: Double,
            remote: Boolean = false,
            primary: Boolean = false,
            wait: Duration = Duration.ZERO,
        ) = candidate(name, wait = wait, remote = remote, primary = primary)
            .copy(load = LoadEstimate(4, 20.milliseconds, occupied, 50.milliseconds))

        private fun shares(vararg candidates: ReadCandidate): Map<String, Double> =
            List(DRAWS) { balanced.choose(candidates.toList(), required)!!.name.value }
                .groupingBy { it }.eachCount().mapValues { it.value.toDouble() / DRAWS }

        @Test
        fun `is shared by members of comparable cost`() {
            expectThat(shares(loaded("one", 1.0), loaded("two", 1.0))["one"] ?: 0.0).isIn(0.4..0.6)
        }

        @Test
        fun `prefers the member that is less busy`() {
            expectThat(shares(loaded("one", 9.0), loaded("two", 1.0))["two"] ?: 0.0).isGreaterThan(0.9)
        }

        @Test
        fun `stays in its region and off the primary while the wait there is short`() {
            val near =
                shares(loaded("near", 8.0), loaded("far", 0.0, remote = true), loaded("main", 0.0, primary = true))
            expectThat(near).isEqualTo(mapOf("near" to 1.0))
        }

        @Test
        fun `leaves its region where the wait there is long`() {
            expectThat(shares(loaded("near", 30.0), loaded("far", 0.0, remote = true))["far"] ?: 0.0).isGreaterThan(0.5)
        }

        @Test
        fun `avoids a member for which statements wait on this VM`() {
            val shares = shares(loaded("one", 0.0, wait = 80.milliseconds), loaded("two", 0.0))
            expectThat(shares["two"] ?: 0.0).isGreaterThan(0.9)
        }

        @Test
        fun `goes by cost alone if the load of a member is unknown`() {
            val unknown = candidate("one", wait = 5.milliseconds)
            expectThat(shares(unknown, loaded("two", 9.0))).isEqualTo(mapOf("two" to 1.0))
        }
    }

    @Test
    fun `estimates of load change nothing where placement by load is off`() {
        val estimate = LoadEstimate(4, 20.milliseconds, 30.0, 50.milliseconds)
        expectThat(
            chosen(candidate("near").copy(load = estimate), candidate("far", remote = true).copy(load = estimate)),
        )
            .isEqualTo("near")
    }

    private companion object {
        const val DRAWS = 1_000
    }
}
