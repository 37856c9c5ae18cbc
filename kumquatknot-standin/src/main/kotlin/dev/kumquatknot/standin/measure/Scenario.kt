package dev.kumquatknot.standin.measure

import dev.kumquatknot.core.configuration.Rank
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One course of load.
 *
 * @property lag mean replication lag.
 * @property flooded kinds that flood; none for an ordinary day.
 * @property floodDatabase the only database that is flooded; null for all.
 * @property floodOfCapacity rate of the flood relative to what the slots of a primary can take.
 * @property overall factor on all kinds during the flood's time.
 * @property slotsLost slots' worth of speed that the primaries lose during the flood's time.
 */
internal data class Scenario(
    val name: String,
    val lag: Duration = 20.milliseconds,
    val flooded: List<LoadKind> = emptyList(),
    val floodDatabase: Int? = null,
    val floodOfCapacity: Double = 0.0,
    val overall: Double = 1.0,
    val slotsLost: Int = 0,
) {
    fun shape(deployment: Deployment, times: ScenarioTimes): LoadShape {
        val floodRate = floodOfCapacity * deployment.memberCapacity
        return { kind, database, now ->
            val inFlood = now in times.floodStart..<times.floodEnd
            val flooding = kind in flooded && (floodDatabase == null || floodDatabase == database)
            when {
                !inFlood -> 1.0
                flooding -> maxOf(1.0, floodRate / flooded.size / kind.rate)
                else -> overall
            }
        }
    }

    internal companion object {
        fun steady(lag: Duration) = Scenario("steady, lag ${lag.inWholeMilliseconds} ms", lag = lag)

        fun floodOfBackground(deployment: Deployment) = Scenario(
            "10x flood of the least urgent",
            flooded = listOf(deployment.kind(deployment.flooder)),
            floodOfCapacity = 10.0,
        )

        fun floodOfUrgent(deployment: Deployment) = Scenario(
            "5x flood of an urgent kind",
            flooded = listOf(deployment.kind(deployment.urgentFlooder)),
            floodOfCapacity = 5.0,
        )

        fun floodOfTenant(deployment: Deployment): Scenario {
            val team = deployment.kind(deployment.flooder).team
            val kinds = deployment.kinds.filter { it.team == team }
            return Scenario("5x flood of one tenant", flooded = kinds, floodOfCapacity = 5.0)
        }

        fun floodOfDatabase(deployment: Deployment) = Scenario(
            "5x flood of one database",
            flooded = deployment.kinds.filter { it.rank != Rank.URGENT },
            floodDatabase = 0,
            floodOfCapacity = 5.0,
        )

        fun overload(factor: Int) = Scenario("all work at ${factor}x", overall = factor.toDouble())

        fun slowPrimaries() = Scenario("slow primaries", overall = 2.0, slotsLost = 2)
    }
}

/** Times of a scenario; requests that arrive from [floodStart] to [floodEnd] are the ones measured. */
internal data class ScenarioTimes(val floodStart: Duration, val floodEnd: Duration, val end: Duration) {
    internal companion object {
        private const val FLOOD_FROM = 0.25
        private const val FLOOD_UNTIL = 0.75
        private val CALM = 5.seconds

        /** The flood lasts half of [duration], after a quarter. */
        fun of(duration: Duration) = ScenarioTimes(duration * FLOOD_FROM, duration * FLOOD_UNTIL, duration + CALM)
    }
}

/** Runs one [scenario] of a [deployment] under a [variant]. */
internal fun runScenario(
    deployment: Deployment,
    variant: Variant,
    scenario: Scenario,
    duration: Duration,
    seed: Long,
): ScenarioResult {
    val times = ScenarioTimes.of(duration)
    val recorder = Recorder(times.floodStart, times.floodEnd)
    val shape = scenario.shape(deployment, times)
    val fleet = ModelFleet(deployment, variant, scenario.lag, seed, shape, recorder)
    fleet.loop.at(times.floodStart) { fleet.slowPrimaries(deployment.slots - scenario.slotsLost) }
    fleet.loop.at(times.floodEnd) { fleet.slowPrimaries(deployment.slots) }
    fleet.run(times.end)
    return ScenarioResult(deployment, variant, scenario, recorder, times, fleet.idleWhileWaiting)
}

private fun ModelFleet.slowPrimaries(parallel: Int) =
    groups.forEach { contentions[it.number][it.primary].parallel = parallel }

private val ModelFleet.idleWhileWaiting: Duration
    get() = groups.flatMap { it.members }.fold(Duration.ZERO) { sum, member -> sum + member.idleWhileWaiting }

/** What a run of a [scenario] gave. */
internal class ScenarioResult(
    val deployment: Deployment,
    val variant: Variant,
    val scenario: Scenario,
    val recorder: Recorder,
    private val times: ScenarioTimes,
    val idleWhileWaiting: Duration,
) {
    /** Kinds that do not flood. */
    val others: List<LoadKind> get() = deployment.kinds - scenario.flooded.toSet()

    val urgentOthersOnTarget: Double get() = recorder.onTargetShare(others.filter { it.rank == Rank.URGENT })

    val replicaShare: Double get() = share(recorder.readsAtReplicas, recorder.reads)

    val sessionReplicaShare: Double get() = share(recorder.sessionReadsAtReplicas, recorder.sessionReads)

    val recoveryTime: Duration
        get() = recorder.recoveryTime(times.floodStart, times.floodEnd, deployment.kinds, RECOVERED_SHARE)

    private fun share(part: Long, whole: Long) = if (whole == 0L) 1.0 else part.toDouble() / whole

    private companion object {
        const val RECOVERED_SHARE = 0.95
    }
}
