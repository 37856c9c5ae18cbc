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

    /** Runs random faults seeded by [scenario]; the faults end at 20 s and the group has 10 s to recover. */
    private fun run(scenario: Long, rules: ProtocolRules = ProtocolRules()): GroupSimulation {
        val simulation = GroupSimulation(scenario, 8.milliseconds, rules)
        val faults = RandomFaults(simulation)
        simulation.nodes.forEach { it.writeEvery(60.milliseconds, 28.seconds) }
        faults.schedule(from = 2.seconds, until = 20.seconds)
        simulation.runUntil(30.seconds)
        simulation.finish()
        return simulation
    }

    private fun violationsOf(rules: ProtocolRules): List<String> =
        (0 until BROKEN_RULE_RUNS).asSequence().map {
            run(seed + it, rules).violations
        }.firstOrNull { it.isNotEmpty() }.orEmpty()

    @Nested
    inner class `under random concurrent faults` {
        @Test
        fun `keeps acknowledged writes, has one primary per term, and proves only valid ages`() = runBlocking<Unit> {
            println("GroupSafetySpec: seed $seed, $runs runs (-Dgroup.seed, -Dgroup.runs)")
            checkAll(runs, PropTestConfig(seed = seed), scenarios) { scenario ->
                expectThat(run(scenario).violations).isEmpty()
            }
        }

        @Test
        fun `acknowledges writes again after the faults have ended`() = runBlocking<Unit> {
            checkAll(runs, PropTestConfig(seed = seed), scenarios) { scenario ->
                expectThat(run(scenario).acknowledged.last().acknowledgedAt).isGreaterThan(27.seconds)
            }
        }
    }

    /** Cuts the links between members but not to the VMs, so that the primary takes writes until it is replaced. */
    private fun runWithoutReplication(rules: ProtocolRules): GroupSimulation {
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
    inner class `while no member can reach another` {
        @Test
        fun `acknowledges no write, loses none, and recovers afterwards`() {
            val simulation = runWithoutReplication(ProtocolRules())
            expectThat(simulation.violations).isEmpty()
            expectThat(simulation.acknowledged.filter { it.acknowledgedAt in 6.seconds..15.seconds }).isEmpty()
            expectThat(simulation.acknowledged.last().acknowledgedAt).isGreaterThan(27.seconds)
        }
    }

    @Nested
    inner class `with a broken protocol rule` {
        @Test
        fun `detects the promotion of the member with the shortest log`() {
            val shortestLog: MemberSelector = { accepted, _ -> accepted.minBy { it.lastEntry }.member }
            expectThat(violationsOf(ProtocolRules(choose = shortestLog))).isNotEmpty()
        }

        @Test
        fun `detects confirmations without a check of the term`() {
            val withoutTermCheck: ConfirmedPoint = { last, accepted -> HistoryPoint(accepted, last.position) }
            expectThat(runWithoutReplication(ProtocolRules(confirmedPoint = withoutTermCheck)).violations).isNotEmpty()
        }

        @Test
        fun `detects acknowledgements without a replica`() {
            expectThat(violationsOf(ProtocolRules(confirmationMajority = 1))).isNotEmpty()
        }

        @Test
        fun `detects ages proved by the primary alone`() {
            expectThat(violationsOf(ProtocolRules(freshnessMajority = 1))).isNotEmpty()
        }
    }

    private companion object {
        const val BROKEN_RULE_RUNS = 60
    }
}
