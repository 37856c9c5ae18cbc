package dev.kumquatknot.core.admission

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.TeamName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import kotlin.time.Duration

class EdgeLimitsSpec {
    private val limits = EdgeLimits(capacity = 100)

    private fun kind(name: String) = TeamKind(TeamName("team"), KindName(name))

    private fun flood(kind: TeamKind, rank: Rank): Int = (1..1_000).count { limits.enter(kind, rank).isRight() }

    private fun floodRank(rank: Rank): Int = (1..10).sumOf { flood(kind("$rank-$it"), rank) }

    @Nested
    inner class `a flood of one kind` {
        @Test
        fun `leaves room for another kind of its own rank`() {
            expectThat(flood(kind("a"), Rank.URGENT)).isEqualTo(57)
            expectThat(flood(kind("b"), Rank.URGENT)).isEqualTo(38)
        }

        @Test
        fun `of background work leaves room for urgent work`() {
            flood(kind("a"), Rank.BACKGROUND)
            expectThat(flood(kind("b"), Rank.URGENT)).isEqualTo(57)
        }
    }

    @Nested
    inner class `a flood of one rank` {
        @Test
        fun `of background work is limited to its share, so that urgent work is admitted`() {
            floodRank(Rank.BACKGROUND)
            expectThat(limits.inFlight()).isGreaterThan(49)
            expectThat(limits.enter(kind("booking"), Rank.URGENT).isRight()).isEqualTo(true)
            expectThat(flood(kind("enrol"), Rank.STANDARD)).isGreaterThan(2)
        }

        @Test
        fun `of urgent work leaves the floor of every other kind`() {
            floodRank(Rank.URGENT).let { expectThat(it).isEqualTo(100) }
            val fresh = EdgeLimits(capacity = 100)
            repeat(1_000) { fresh.enter(kind("a"), Rank.URGENT) }
            repeat(1_000) { fresh.enter(kind("b"), Rank.URGENT) }
            expectThat(fresh.enter(kind("browse"), Rank.BACKGROUND).isRight()).isEqualTo(true)
            expectThat(fresh.enter(kind("browse"), Rank.BACKGROUND).isRight()).isEqualTo(true)
            expectThat(fresh.enter(kind("browse"), Rank.BACKGROUND).isRight()).isEqualTo(false)
        }
    }

    @Nested
    inner class `work that releases resources` {
        @Test
        fun `is limited by the capacity alone`() {
            floodRank(Rank.BACKGROUND)
            val admitted = (1..1_000).count {
                limits.enter(kind("commit"), Rank.BACKGROUND, releasesResources = true).isRight()
            }
            expectThat(admitted).isGreaterThan(20)
            expectThat(limits.inFlight()).isEqualTo(100)
        }
    }

    @Nested
    inner class `a refusal` {
        @Test
        fun `has a retry time`() {
            flood(kind("a"), Rank.BACKGROUND)
            val refusal = limits.enter(kind("a"), Rank.BACKGROUND).leftOrNull()
            expectThat(refusal).isNotNull().get { retryAfter }.isGreaterThan(Duration.ZERO)
        }

        @Test
        fun `no longer occurs once requests have ended`() {
            val admitted = flood(kind("a"), Rank.BACKGROUND)
            repeat(admitted) { limits.leave(kind("a")) }
            expectThat(limits.inFlight()).isEqualTo(0)
            expectThat(flood(kind("a"), Rank.BACKGROUND)).isEqualTo(admitted)
        }
    }

    @Test
    fun `leaving without an admitted request is an error`() {
        expectThrows<IllegalStateException> { limits.leave(kind("a")) }
    }
}
