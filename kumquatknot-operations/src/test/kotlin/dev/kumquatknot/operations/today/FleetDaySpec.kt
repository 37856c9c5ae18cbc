package dev.kumquatknot.operations.today

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.milliseconds

class FleetDaySpec {
    private val seed = System.getProperty("kumquatknot.seed", "4711").toLong()
    private val configuration = PropTestConfig(seed = seed, iterations = 50)
    private val entries = arbitrary {
        val count = Arb.int(0..20).bind()
        SampleDays.kind("counter", "kind-${Arb.int(0..2).bind()}", SampleDays.served(count, count / 2))
    }
    private val days = arbitrary {
        val summaries = Arb.list(Arb.int(0..3), 0..4).bind().map { vm ->
            val sequence = Arb.int(1..1000).bind().toLong()
            // Counts depend on the sequence alone: a source never writes two different summaries with one sequence.
            SampleDays.summary(
                "entry-$vm",
                listOf(SampleDays.kind("counter", "book", SampleDays.served(sequence.toInt(), 0))),
                sequence,
            )
        }
        FleetDay.of(summaries)
    }

    @Nested
    inner class `merging` {
        @Test
        fun `is associative, commutative and idempotent`() {
            runBlocking {
                checkAll(configuration, days, days, days) { first, second, third ->
                    expectThat(first.merge(second).merge(third)).isEqualTo(first.merge(second.merge(third)))
                    expectThat(first.merge(second)).isEqualTo(second.merge(first))
                    expectThat(first.merge(first)).isEqualTo(first)
                }
            }
        }

        @Test
        fun `keeps the later summary of a source`() {
            val older = SampleDays.summary("entry-1", emptyList(), sequence = 1)
            val newer = SampleDays.summary("entry-1", emptyList(), sequence = 2)
            expectThat(FleetDay.of(listOf(newer, older)).summaries.values.single()).isEqualTo(newer)
        }
    }

    @Nested
    inner class `summing` {
        @Test
        fun `gives the same total in groups as over the whole fleet`() {
            runBlocking {
                checkAll(configuration, Arb.list(entries, 1..4), Arb.list(entries, 1..4)) { first, second ->
                    val one = FleetDay.of(listOf(SampleDays.summary("entry-1", first)))
                    val other = FleetDay.of(listOf(SampleDays.summary("entry-2", second)))
                    val whole = one.merge(other).totals()
                    val sum = one.totals() + other.totals()
                    expectThat(sum.kinds.map { it.figures.copy(latencies = LatencyHistogram.NONE) })
                        .isEqualTo(whole.kinds.map { it.figures.copy(latencies = LatencyHistogram.NONE) })
                    expectThat(sum.kinds.map { it.figures.latencies.quantile(0.5) })
                        .isEqualTo(whole.kinds.map { it.figures.latencies.quantile(0.5) })
                }
            }
        }

        @Test
        fun `closes an unknown outcome that another VM has resolved`() {
            val open = KindStatistics(unknownKeys = setOf("a", "b"))
            val resolved = KindStatistics(settledKeys = setOf("b", "c"))
            expectThat((open + resolved).openUnknown).isEqualTo(1)
        }

        @Test
        fun `merges latencies without loss`() {
            val fast = LatencyHistogram.of(List(99) { 10.milliseconds })
            val slow = LatencyHistogram.of(listOf(900.milliseconds))
            expectThat((fast + slow).quantile(0.999)).isNotNull().get { inWholeMilliseconds / 10 }.isEqualTo(90)
            expectThat((fast + slow).quantile(0.5)).isNotNull().get { inWholeMilliseconds }.isEqualTo(10)
        }
    }
}
