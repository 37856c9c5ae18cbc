package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEmpty
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GroupSafetySpec {
    private val runs = Integer.getInteger("group.runs", 12)
    private val seed = java.lang.Long.getLong("group.seed", 20_261_204L)

    private val scenarios = arbitrary { it.random.nextLong() }

    /** A run under faults drawn from [scenario]; the faults end at 20 s and the group has 10 s to recover. */
    private fun run(scenario: Long, rules: Rules = Rules()): GroupSimulation {
        val simulation = GroupSimulation(scenario, 8.milliseconds, rules)
        val faults = RandomFaults(simulation)
        simulation.nodes.forEach { it.writeEvery(60.milliseconds, 28.seconds) }
        faults.schedule(from = 2.seconds, until = 20.seconds)
        simulation.runUntil(30.seconds)
        simulation.finish()
        return simulation
    }

    private fun violationsOf(rules: Rules): List<String> =
        (0 until PLANTED_RUNS).asSequence().map {
            run(seed + it, rules).violations
        }.firstOrNull { it.isNotEmpty() }.orEmpty()

    @Nested
    inner class `under any two or more faults at once` {
        @Test
        fun `keeps every acknowledged write, one primary a term, and proves only true ages`() = runBlocking<Unit> {
            println("GroupSafetySpec: seed $seed, $runs runs (-Dgroup.seed, -Dgroup.runs)")
            checkAll(runs, PropTestConfig(seed = seed), scenarios) { scenario ->
                expectThat(run(scenario).violations).isEmpty()
            }
        }

        @Test
        fun `serves again once the faults are over`() = runBlocking<Unit> {
            checkAll(runs, PropTestConfig(seed = seed), scenarios) { scenario ->
                expectThat(run(scenario).acked.last().ackedAt).isGreaterThan(27.seconds)
            }
        }
    }

    /** The members lose each other but not the VMs, so that the first primary writes on until it is replaced. */
    private fun runWithoutReplication(rules: Rules): GroupSimulation {
        val simulation = GroupSimulation(seed, 8.milliseconds, rules)
        simulation.nodes.forEach { it.writeEvery(40.milliseconds, 28.seconds) }
        simulation.runUntil(5.seconds)
        val names = simulation.members.map { it.name.value }
        names.forEach { simulation.isolate(it, names - it) }
        simulation.runUntil(15.seconds)
        simulation.heal()
        simulation.runUntil(30.seconds)
        simulation.finish()
        return simulation
    }

    @Nested
    inner class `while no member hears another` {
        @Test
        fun `acknowledges nothing and loses nothing`() {
            val simulation = runWithoutReplication(Rules())
            expectThat(simulation.violations).isEmpty()
            expectThat(simulation.acked.filter { it.ackedAt in 6.seconds..15.seconds }).isEmpty()
            expectThat(simulation.acked.last().ackedAt).isGreaterThan(27.seconds)
        }
    }

    @Nested
    inner class `with a rule broken` {
        @Test
        fun `notices the promotion of the member with the shortest log`() {
            val lowest: ChooseMember = { accepted, _ -> accepted.minBy { it.lastEntry }.member }
            expectThat(violationsOf(Rules(choose = lowest))).isNotEmpty()
        }

        @Test
        fun `notices confirmations without a check of the term`() {
            val careless: ConfirmedPoint = { last, accepted -> HistoryPoint(accepted, last.position) }
            expectThat(runWithoutReplication(Rules(confirmedPoint = careless)).violations).isNotEmpty()
        }

        @Test
        fun `notices acknowledgements without a replica`() {
            expectThat(violationsOf(Rules(confirmationMajority = 1))).isNotEmpty()
        }

        @Test
        fun `notices ages proved by the primary alone`() {
            expectThat(violationsOf(Rules(freshnessMajority = 1))).isNotEmpty()
        }
    }

    private companion object {
        const val PLANTED_RUNS = 60
    }
}
