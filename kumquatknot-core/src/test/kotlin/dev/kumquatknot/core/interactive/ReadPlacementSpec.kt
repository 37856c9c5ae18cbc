package dev.kumquatknot.core.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
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
}
