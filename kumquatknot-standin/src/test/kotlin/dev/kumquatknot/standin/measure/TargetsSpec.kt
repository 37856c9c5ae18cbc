package dev.kumquatknot.standin.measure

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TargetsSpec {
    private val duration = 6.seconds
    private val floodTime = duration * 0.5

    private fun eachRun(scenario: (Deployment) -> Scenario, check: (ScenarioResult) -> Unit) =
        listOf(Deployment.PESEBRE_UNIDO, Deployment.NILE_EDGE).forEach { deployment ->
            SEEDS.forEach { seed ->
                println("${deployment.name}, seed $seed")
                check(runScenario(deployment, Variant.DESIGN, scenario(deployment), duration, seed))
            }
        }

    @Nested
    inner class `reads` {
        @Test
        fun `with a stated age go to replicas at any lag that the age allows`() = LAGS.forEach { lag ->
            eachRun({ Scenario.steady(lag) }) {
                expectThat(it.replicaShare).isGreaterThanOrEqualTo(0.95)
                expectThat(it.recorder.staleAnswers).isEqualTo(0)
            }
        }

        @Test
        fun `of a session's own writes go to replicas at 100 ms lag`() = eachRun({
            Scenario.steady(100.milliseconds)
        }) {
            expectThat(it.sessionReplicaShare).isGreaterThanOrEqualTo(0.8)
            expectThat(it.recorder.staleAnswers).isEqualTo(0)
        }
    }

    @Nested
    inner class `a 10x flood of the least urgent work` {
        @Test
        fun `leaves urgent work on target and ends with the flood`() = eachRun(Scenario::floodOfBackground) {
            expectThat(it.urgentOthersOnTarget).isGreaterThanOrEqualTo(0.999)
            expectRecovered(it)
            expectNoIdleSlot(it)
        }
    }

    @Nested
    inner class `a 5x flood of an urgent kind` {
        @Test
        fun `leaves the other urgent kinds on target and every kind its floor`() = eachRun(Scenario::floodOfUrgent) {
            expectThat(it.urgentOthersOnTarget).isGreaterThanOrEqualTo(0.99)
            it.deployment.kinds.forEach { kind -> expectFloorKept(it, kind) }
            expectRecovered(it)
            expectNoIdleSlot(it)
        }
    }

    @Nested
    inner class `a flood of one tenant` {
        @Test
        fun `leaves the urgent work of the others on target`() = eachRun(Scenario::floodOfTenant) {
            expectThat(it.urgentOthersOnTarget).isGreaterThanOrEqualTo(0.999)
            expectRecovered(it)
        }
    }

    @Nested
    inner class `a flood of one database` {
        @Test
        fun `leaves the other databases untouched`() = eachRun(Scenario::floodOfDatabase) { result ->
            val others = result.deployment.kinds.flatMap { kind ->
                (1..<result.deployment.databases).map { kind to it }
            }
            val tallies = others.map { (kind, database) -> result.recorder.tally(kind, database) }
            val share = tallies.sumOf { it.onTarget }.toDouble() / tallies.sumOf { it.requests }
            expectThat(share).isGreaterThanOrEqualTo(0.999)
            expectRecovered(result)
        }
    }

    @Nested
    inner class `past saturation` {
        @Test
        fun `goodput stays at its peak`() = listOf(
            Deployment.PESEBRE_UNIDO,
            Deployment.NILE_EDGE,
        ).forEach { deployment ->
            val goodputs = listOf(2, 4, 6, 10).map { factor ->
                runScenario(
                    deployment,
                    Variant.DESIGN,
                    Scenario.overload(factor),
                    duration,
                    SEEDS.first(),
                ).recorder.goodput
            }
            expectThat(goodputs.last()).isGreaterThanOrEqualTo(goodputs.max() * 0.95)
        }
    }

    private fun expectRecovered(result: ScenarioResult) =
        expectThat(result.recoveryTime).isLessThanOrEqualTo(5.seconds)

    private fun expectNoIdleSlot(result: ScenarioResult) =
        expectThat(result.idleWhileWaiting).isEqualTo(Duration.ZERO)

    /** Each kind gets its floor of the primaries' slots, or all that it asks for. */
    private fun expectFloorKept(result: ScenarioResult, kind: LoadKind) {
        val tally = result.recorder.tally(kind)
        val floorRate = kind.floorPercent / 100.0 * result.deployment.memberCapacity * result.deployment.databases
        val owed = minOf(floorRate * (floodTime / 1.seconds), tally.requests.toDouble())
        expectThat(tally.count(Ending.ANSWERED).toDouble()).isGreaterThanOrEqualTo(owed)
    }

    private companion object {
        val SEEDS = listOf(1L, 2L, 3L)
        val LAGS = listOf(0, 10, 50, 100, 500).map { it.milliseconds }
    }
}
