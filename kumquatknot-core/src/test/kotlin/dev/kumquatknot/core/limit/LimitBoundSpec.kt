package dev.kumquatknot.core.limit

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.customer.RateLimit
import dev.kumquatknot.core.identity.VmName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isGreaterThan
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against more operations of a customer in a window than its limit allows, while messages are lost or late,
 * links work one way only, VMs freeze, die, start again and are added, and views of the fleet disagree. A longer search
 * runs with the system property `limits.seeds`.
 */
class LimitBoundSpec {
    @Test
    fun `no window exceeds the bound under any fault`() {
        val seeds = Integer.getInteger("limits.seeds", SEEDS)
        val first = Integer.getInteger("limits.first", 1)
        var admitted = 0L
        val fullest = sortedMapOf<CustomerName, Double>()
        val violations = (first until first + seeds).flatMap { seed ->
            val size = listOf(30, 87)[seed % 2]
            val run = FaultyRun(seed.toLong(), size)
            run.play()
            run.simulation.accounts.mapNotNull { (customer, account) ->
                admitted += account.admitted
                val share = account.highest / run.simulation.budget.bound(LIMITS.getValue(customer))
                fullest.merge(customer, share, ::maxOf)
                account.violation?.let { "seed $seed, $size VMs: $it" }
            }
        }
        println("$seeds seeds: $admitted operations; share of the bound in the fullest window: $fullest")
        expectThat(violations).isEmpty()
        expectThat(admitted).isGreaterThan(seeds * LEAST_ADMITTED)
    }

    private class FaultyRun(seed: Long, private val size: Int) {
        val simulation = LimitSimulation(seed, size, LIMITS)
        private val random = Random(seed)
        private val load = HashMap<CustomerName, Double>()

        /** Longest time between two faults; rare ones let the buckets fill in between. */
        private val pause = listOf(1.5.seconds, 6.seconds, 24.seconds)[seed.toInt() % 3]

        fun play() {
            simulation.lossShare = if (random.nextBoolean()) 0.02 else 0.0
            simulation.lateShare = if (random.nextBoolean()) 0.05 else 0.0
            simulation.vms.forEach(::disturbViews)
            LIMITS.keys.forEach { customer ->
                simulation.submit(customer, { load[customer] ?: 0.0 }) { alive().random(simulation.random) }
                changeLoad(customer)
            }
            fault()
            simulation.advance(TIME)
        }

        /** Quiet times, in which the buckets fill, are followed by up to seven times the usual load. */
        private fun changeLoad(customer: CustomerName) {
            val usual = LIMITS.getValue(customer).operationsPerSecond / 1.6
            load[customer] = usual * listOf(0.0, 0.3, 1.0, 7.0, 7.0).random(random)
            simulation.after(12.seconds * random.nextDouble()) { changeLoad(customer) }
        }

        private fun alive() = simulation.vms.filter { it.isAlive }

        private val faults = listOf<(Duration) -> Unit>(
            { time -> repeat(random.nextInt(1, 4)) { simulation.vms.random(random).freeze(time) } },
            { restart(alive().random(random), 1.seconds * random.nextDouble()) },
            { time -> restart(alive().first(), time) },
            { time -> alive().first().freeze(time) },
            { time -> cut(alive().random(random), time, bothWays = random.nextBoolean()) },
            { alive().shuffled(random).take(size / 3).forEach { restart(it, 1.seconds * random.nextDouble()) } },
            { time -> isolate(time) },
            { simulation.vms.forEach(::disturbViews) },
            { exchangeLimiters() },
            { burst() },
            { time -> isolateAll(time * 2) },
            { if (simulation.vms.size < size + size / 30) disturbViews(simulation.add()) },
        )

        private fun fault() {
            faults.random(random)(15.seconds * random.nextDouble())
            simulation.after(pause * random.nextDouble()) { fault() }
        }

        /** Lets two halves of the fleet see two sets of limiters, which they exchange under a high load. */
        private fun exchangeLimiters() {
            val sets = simulation.vms.shuffled(random).map { it.name }.chunked(3).take(2)
            repeat(3) { round ->
                simulation.after((1.5.seconds + 2.seconds * random.nextDouble()) * round) {
                    simulation.vms.forEachIndexed { index, vm ->
                        if (random.nextInt(10) > 0) vm.order = { sets[(index + round) % 2] }
                    }
                    burst()
                    simulation.after(1.seconds * random.nextDouble()) { burst() }
                }
            }
            simulation.after(9.seconds) { simulation.vms.forEach(::disturbViews) }
        }

        /** Cuts all links until each VM has what its own entitlement gives it, and uses that everywhere at once. */
        private fun isolateAll(time: Duration) {
            val before = simulation.lossShare
            simulation.lossShare = 1.0
            simulation.after(time) {
                alive().forEach { vm -> LIMITS.keys.forEach { vm.submit(it) } }
                burst()
                simulation.after(1.seconds) { simulation.lossShare = before.takeIf { it < 1.0 } ?: 0.0 }
            }
        }

        private fun burst() = LIMITS.forEach { (customer, limit) ->
            repeat(simulation.budget.bound(limit).toInt() / 2) { alive().random(random).submit(customer) }
        }

        private fun restart(vm: LimitSimulation.Vm, pause: Duration) {
            vm.kill()
            simulation.after(pause) { if (!vm.isAlive) vm.start() }
        }

        private fun cut(vm: LimitSimulation.Vm, time: Duration, bothWays: Boolean) {
            val others = simulation.vms.map { it.name } - vm.name
            val links = others.flatMap { other ->
                listOfNotNull(vm.name to other, (other to vm.name).takeIf { bothWays })
            }
            cut(links.let { if (random.nextBoolean()) it.map { (from, to) -> to to from } else it }, time)
        }

        /** Cuts a region off from the others. */
        private fun isolate(time: Duration) {
            val (inside, outside) = simulation.vms.partition { it.region == 0 }
            cut(inside.flatMap { a -> outside.flatMap { b -> listOf(a.name to b.name, b.name to a.name) } }, time)
        }

        private fun cut(links: List<Pair<VmName, VmName>>, time: Duration) {
            simulation.cutLinks += links
            simulation.after(time) { simulation.cutLinks -= links.toSet() }
        }

        /**
         * Lets [vm] see the fleet in a way of its own. Its number of VMs is unknown for a while, and too low by at most
         * the VMs that were added, see `LimitBudget.shareTolerance`.
         */
        private fun disturbViews(vm: LimitSimulation.Vm) {
            val knownFrom = simulation.now + 3.seconds * random.nextDouble()
            val error = random.nextInt(0, 3)
            vm.registered = { if (simulation.now < knownFrom) 0 else maxOf(size, simulation.vms.size - error) }
            val names = simulation.vms.map { it.name }
            val seen = when (random.nextInt(4)) {
                0 -> names.shuffled(random)
                1 -> names.filterIndexed { index, _ -> index % LimitSimulation.REGIONS == vm.region }
                else -> null
            }
            val until = simulation.now + 15.seconds * random.nextDouble()
            val lag = 300.milliseconds
            vm.order = {
                if (seen != null && simulation.now < until) seen.take(3) else liveAt(lag)
            }
        }

        private fun liveAt(lag: Duration): List<VmName> {
            if (simulation.now - seenAt > lag) {
                seenAt = simulation.now
                seenAlive = alive().take(3).map { it.name }
            }
            return seenAlive
        }

        private var seenAt = -Duration.INFINITE
        private var seenAlive = emptyList<VmName>()
    }

    private companion object {
        const val SEEDS = 20
        const val LEAST_ADMITTED = 1_000L
        val TIME = 90.seconds
        val LIMITS = mapOf(
            CustomerName("one") to RateLimit(1.0, 1.0),
            CustomerName("four") to RateLimit(4.0, 2.0),
            CustomerName("twenty") to RateLimit(20.0, 40.0),
            CustomerName("largest") to RateLimit(120.0, 120.0),
        )
    }
}
