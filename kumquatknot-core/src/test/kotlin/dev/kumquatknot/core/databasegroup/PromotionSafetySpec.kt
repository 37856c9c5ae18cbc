package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Plays failovers of a group with one synchronous replica; each run follows from its seed. */
class PromotionSafetySpec {
    private val runs = System.getProperty("promotion.runs")?.toInt() ?: 10_000
    private val firstSeed = System.getProperty("promotion.seed")?.toInt() ?: 1

    private fun play(primaryLeaves: Boolean): List<PlayedFailover> =
        (firstSeed until firstSeed + runs).map { FailoverPlay(it, primaryLeaves).play() }

    @Nested
    inner class `every acknowledged commit is in the log of the promoted member` {
        @Test
        fun `after a crash of the primary`() {
            val played = play(primaryLeaves = false)
            expectThat(played.mapNotNull { it.violation }).isEmpty()
            expectThat(played.count { it.isPromoted }).isGreaterThan(runs / 2)
        }

        @Test
        fun `after a release of the primary, if the replicas receive it to the end`() {
            val played = play(primaryLeaves = true)
            expectThat(played.mapNotNull { it.violation }).isEmpty()
            expectThat(played.count { it.isPromoted }).isGreaterThan(runs / 2)
        }
    }
}

/** Outcome of one [FailoverPlay]. */
private class PlayedFailover(val isPromoted: Boolean, val violation: String?)

/**
 * One failover. Replicas receive commits or not, report or only answer, and cannot be reached, for spans that follow
 * from the [seed]; the primary acknowledges a commit once one of them has received it.
 */
private class FailoverPlay(private val seed: Int, private val primaryLeaves: Boolean) {
    private val random = Random(seed)
    private val decision = FailoverDecision()
    private val replicas = listOf("b", "c").map { Replica(MemberName(it)) }
    private val lossAt = STEP * random.nextInt(20, 60)
    private var now = 1_000.milliseconds
    private var committed = 0L
    private var acknowledged = 0L
    private var replicated: HistoryPoint? = null
    private var primaryAnsweredAt = now
    private var primaryReport: ReceivedReport? = null

    private val isLost get() = now >= 1_000.milliseconds + lossAt

    fun play(): PlayedFailover {
        repeat(STEPS) {
            now += STEP
            if (!isLost || primaryLeaves) commit()
            replicas.forEach { it.step() }
            replicated = replicas.mapNotNull { it.known }.maxOrNull()
            val order = decide() ?: return@repeat
            val promoted = replicas.first { it.name == order.candidate }
            repeat(PROMOTION_STEPS) { if (primaryLeaves) commit() }
            val lost = acknowledged - promoted.received
            return PlayedFailover(true, "seed $seed: $order lacks $lost commits".takeIf { lost > 0 })
        }
        return PlayedFailover(false, null)
    }

    private fun commit() {
        if (acknowledged < committed && replicas.none { it.receives }) return
        committed++
        replicas.filter { it.receives }.forEach { it.received = committed }
        acknowledged = replicas.maxOf { it.received }
        primaryAnsweredAt = now
        primaryReport = ReceivedReport(point(committed), now, now)
    }

    private fun decide(): FailoverOrder? = decision.decide(
        replicas.map { it.observed() } + observedPrimary(),
        PRIMARY,
        proved = true,
        now,
        replication = ObservedReplication(1, replicated),
    )

    private fun observedPrimary(): ObservedMember {
        val failingSince = primaryAnsweredAt.takeIf { isLost && !primaryLeaves }
        return ObservedMember(
            name = PRIMARY,
            leaving = isLost && primaryLeaves,
            answeredAt = primaryAnsweredAt,
            failingSince = failingSince,
            failures = if (failingSince == null) 0 else 3,
            refusing = failingSince != null,
            received = point(committed),
            report = primaryReport,
        )
    }

    private fun point(number: Long) = HistoryPoint(Term(1), LogPosition(number))

    private inner class Replica(val name: MemberName) {
        var received = 0L
        var known: HistoryPoint? = null
            private set
        private var report: ReceivedReport? = null
        private var answeredAt: Duration? = null
        private var failingSince: Duration? = null
        private val deaf = Span()
        private val busy = Span()
        private val unreachable = Span()

        val receives get() = !deaf.isActive

        fun step() {
            if (receives) received = committed
            if (unreachable.isActive) {
                failingSince = failingSince ?: now
                return
            }
            failingSince = null
            answeredAt = now
            val applied = (received - random.nextLong(3)).coerceAtLeast(0)
            known = maxOf(known ?: point(applied), point(applied))
            if (busy.isActive) return
            known = point(received)
            // The answer describes the log some time after the request.
            report = ReceivedReport(point(received), now - STEP * random.nextInt(2), now)
        }

        fun observed() = ObservedMember(
            name = name,
            leaving = false,
            answeredAt = answeredAt,
            failingSince = failingSince,
            failures = if (failingSince == null) 0 else 3,
            refusing = false,
            received = known,
            report = report,
        )
    }

    /** A span of time in which something holds; a quarter of the spans never begin. */
    private inner class Span {
        private val start = if (random.nextInt(4) == 0) Duration.INFINITE else STEP * random.nextInt(STEPS)
        private val end = start + STEP * random.nextInt(10, 80)

        val isActive get() = now - 1_000.milliseconds in start..<end
    }

    private companion object {
        val STEP = 50.milliseconds
        const val STEPS = 200

        /** Steps from an order until it takes effect. */
        const val PROMOTION_STEPS = 20
        val PRIMARY = MemberName("a")
    }
}
