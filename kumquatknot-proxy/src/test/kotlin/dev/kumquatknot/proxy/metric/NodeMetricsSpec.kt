package dev.kumquatknot.proxy.metric

import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.FailureReason
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isFalse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class NodeMetricsSpec {
    private val metrics = NodeMetrics()
    private val team = TeamName("nile")
    private val kind =
        KindConfiguration(
            KindName("enrol"),
            Rank.URGENT,
            Access.WRITE,
            Purpose.BOOKING,
            Repetition.AT_MOST_ONCE,
            targetMillis = 100,
            deadlineMillis = 1_000,
            floorPercent = 10,
        )

    @Nested
    inner class `requests` {
        @Test
        fun `have a histogram of their duration by team, kind, rank and outcome`() {
            metrics.requestCompleted(team, kind, 3.milliseconds)
            metrics.requestFailed(team, kind, "unconfirmed", Effect.UNKNOWN, 2.seconds)
            expectThat(metrics.exposition())
                .contains(
                    """_bucket{kind="enrol",outcome="completed",rank="urgent",team="nile",le="0.004"} 1""",
                ).contains("""_count{kind="enrol",outcome="unknown",rank="urgent",team="nile"} 1""")
                .contains("""kumquatknot_unknown_outcomes_total{kind="enrol",team="nile"} 1.0""")
                .contains("""effect="unknown",kind="enrol",rank="urgent",reason="unconfirmed",team="nile"} 1.0""")
        }

        @Test
        fun `of unknown callers are counted by reason only`() {
            metrics.callerRejected(FailureReason.UNAUTHENTICATED)
            expectThat(metrics.exposition())
                .contains("""kumquatknot_rejected_callers_total{reason="unauthenticated"} 1.0""")
        }
    }

    @Nested
    inner class `failovers and connections` {
        @Test
        fun `are exposed and removed`() {
            metrics.promotionEnded(DatabaseName("courses-1"), won = true, gap = 2.seconds)
            metrics.memberConnections(MemberName("courses-1-a"), idle = 3, busy = 4)
            expectThat(metrics.exposition())
                .contains("""kumquatknot_failovers_total{database="courses-1",result="won"} 1.0""")
                .contains("""kumquatknot_failover_duration_seconds_bucket{database="courses-1",le="2.0"} 1""")
                .contains("""kumquatknot_member_connections{member="courses-1-a",state="busy"} 4.0""")
            metrics.memberReleased(MemberName("courses-1-a"))
            expectThat(metrics.exposition().contains("courses-1-a")).isFalse()
        }
    }

    @Test
    fun `registered gauges are read on each exposition`() {
        var value = 1.0
        metrics.gauge("kumquatknot_test", "A test") { value }
        value = 5.0
        expectThat(metrics.exposition()).contains("kumquatknot_test 5.0")
    }
}
