package dev.kumquatknot.core.databasegroup

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Draws faults from the random numbers of [simulation] and ends each of them after a while. */
class RandomFaults(private val simulation: GroupSimulation) {
    private val random = simulation.random

    fun schedule(from: Duration, until: Duration) {
        var time = from
        while (time < until) {
            val lasting = (200 + random.nextInt(4_000)).milliseconds
            val end = minOf(time + lasting, until)
            simulation.at(time) { begin(end) }
            time += (100 + random.nextInt(2_500)).milliseconds
        }
        simulation.at(until) { healAll() }
    }

    private fun begin(end: Duration) = when (random.nextInt(FAULTS)) {
        0 -> isolatePrimary(end)
        1 -> isolate(anyOf(simulation.everyone()), end)
        2 -> cutOneWay(anyOf(simulation.everyone()), anyOf(simulation.everyone()), end)
        3 -> simulation.frozenUntil[anyOf(simulation.everyone())] = end
        4 -> loseMessages(end)
        5 -> anyOf(simulation.members).restart()
        6 -> restartVm(anyOf(simulation.nodes), end)
        7 -> lag(anyOf(simulation.members).name.value, end)
        else -> simulation.primary()?.let { slowDown(it.name.value, end) } ?: Unit
    }

    private fun isolatePrimary(end: Duration) = simulation.primary()?.let { isolate(it.name.value, end) } ?: Unit

    private fun isolate(name: String, end: Duration) {
        val others = (simulation.everyone() - name).filter { random.nextInt(4) > 0 }
        simulation.isolate(name, others)
        simulation.at(end) { others.forEach { simulation.cut -= setOf(name to it, it to name) } }
    }

    private fun cutOneWay(from: String, to: String, end: Duration) {
        simulation.cut += from to to
        simulation.at(end) { simulation.cut -= from to to }
    }

    private fun loseMessages(end: Duration) {
        simulation.loss = 0.05 + random.nextDouble() * 0.3
        simulation.duplicates = 0.2
        simulation.at(end) { healLoss() }
    }

    private fun restartVm(vm: GroupSimulation.Vm, end: Duration) {
        vm.up = false
        simulation.at(end) {
            vm.boot()
            vm.event(GroupEvent.Tick)
        }
    }

    private fun lag(name: String, end: Duration) {
        simulation.lag[name] = (random.nextInt(3_000)).milliseconds
        simulation.at(end) { simulation.lag -= name }
    }

    private fun slowDown(name: String, end: Duration) {
        simulation.slow[name] = 20
        simulation.at(end) { simulation.slow -= name }
    }

    private fun healLoss() {
        simulation.loss = 0.0
        simulation.duplicates = 0.0
    }

    private fun healAll() {
        simulation.heal()
        healLoss()
    }

    private fun <T> anyOf(all: List<T>): T = all[random.nextInt(all.size)]

    private companion object {
        const val FAULTS = 9
    }
}
