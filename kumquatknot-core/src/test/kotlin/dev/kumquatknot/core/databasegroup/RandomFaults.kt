package dev.kumquatknot.core.databasegroup

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Schedules random faults in [simulation], each of random duration, from its seeded random numbers. */
class RandomFaults(private val simulation: GroupSimulation) {
    private val random = simulation.random

    fun schedule(from: Duration, until: Duration) {
        var time = from
        while (time < until) {
            val duration = (200 + random.nextInt(4_000)).milliseconds
            val end = minOf(time + duration, until)
            simulation.at(time) { begin(end) }
            time += (100 + random.nextInt(2_500)).milliseconds
        }
        simulation.at(until) { healAll() }
    }

    private fun begin(end: Duration) = when (random.nextInt(FAULT_KINDS)) {
        0 -> isolatePrimary(end)
        1 -> isolate(pickOne(simulation.allNodeNames()), end)
        2 -> cutOneWay(pickOne(simulation.allNodeNames()), pickOne(simulation.allNodeNames()), end)
        3 -> simulation.pausedUntil[pickOne(simulation.allNodeNames())] = end
        4 -> loseMessages(end)
        5 -> pickOne(simulation.members).restart()
        6 -> restartVm(pickOne(simulation.nodes), end)
        7 -> delayReplication(pickOne(simulation.members).name.value, end)
        else -> simulation.primary()?.let { slowDown(it.name.value, end) } ?: Unit
    }

    private fun isolatePrimary(end: Duration) = simulation.primary()?.let { isolate(it.name.value, end) } ?: Unit

    private fun isolate(name: String, end: Duration) {
        val others = (simulation.allNodeNames() - name).filter { random.nextInt(4) > 0 }
        simulation.isolate(name, others)
        simulation.at(end) { others.forEach { simulation.blockedLinks -= setOf(name to it, it to name) } }
    }

    private fun cutOneWay(from: String, to: String, end: Duration) {
        simulation.blockedLinks += from to to
        simulation.at(end) { simulation.blockedLinks -= from to to }
    }

    private fun loseMessages(end: Duration) {
        simulation.lossRate = 0.05 + random.nextDouble() * 0.3
        simulation.duplicateRate = 0.2
        simulation.at(end) { healLoss() }
    }

    private fun restartVm(vm: GroupSimulation.Vm, end: Duration) {
        vm.up = false
        simulation.at(end) {
            vm.boot()
            vm.event(GroupEvent.Tick)
        }
    }

    private fun delayReplication(name: String, end: Duration) {
        simulation.replicationLag[name] = (random.nextInt(3_000)).milliseconds
        simulation.at(end) { simulation.replicationLag -= name }
    }

    private fun slowDown(name: String, end: Duration) {
        simulation.serviceTimeFactors[name] = 20
        simulation.at(end) { simulation.serviceTimeFactors -= name }
    }

    private fun healLoss() {
        simulation.lossRate = 0.0
        simulation.duplicateRate = 0.0
    }

    private fun healAll() {
        simulation.heal()
        healLoss()
    }

    private fun <T> pickOne(all: List<T>): T = all[random.nextInt(all.size)]

    private companion object {
        const val FAULT_KINDS = 9
    }
}
