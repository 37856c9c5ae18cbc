package dev.kumquatknot.proxy.interactive

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/**
 * Guards against two holders of a duty and against a falling token where the store comes back from a copy: a
 * conditional write of the former holder fits the revision that another holder's record got after the restoration.
 */
class DutySimulationSpec {
    @Test
    fun `a duty never has two holders, nor a token that falls, whichever copies the store comes back from`() {
        var handovers = 0
        var restored = 0
        val violations = (1..SEEDS).mapNotNull { seed ->
            val simulation = DutySimulation(Random(seed))
            val violation = simulation.play(STEPS)
            handovers += simulation.handovers
            restored += simulation.restored
            violation?.let { "seed $seed: $it" }
        }
        println("$SEEDS seeds: $handovers changes of holder, $restored restored copies")
        expectThat(violations).isEmpty()
        expectThat(handovers).isGreaterThan(SEEDS)
        expectThat(restored).isGreaterThan(SEEDS)
    }

    private companion object {
        const val SEEDS = 1_000
        const val STEPS = 150
    }
}
