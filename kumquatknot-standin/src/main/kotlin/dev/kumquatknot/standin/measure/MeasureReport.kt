package dev.kumquatknot.standin.measure

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Figures of one kind of work in one run.
 *
 * @property requests requests of callers, retries not counted.
 * @property onTargetShare share of them that was answered within the target, retries included.
 * @property answered requests that were answered before the caller gave up.
 * @property notRun requests whose last attempt was refused before it ran.
 * @property noAnswer requests whose caller gave up without an answer.
 */
@Serializable
public data class KindFigures(
    val team: String,
    val kind: String,
    val rank: String,
    val floods: Boolean,
    val requests: Long,
    val onTargetShare: Double,
    val answered: Long,
    val notRun: Long,
    val noAnswer: Long,
    val p50Millis: Double,
    val p99Millis: Double,
)

/**
 * Figures of one run of a scenario under one variant. Those of requests count what arrived during the flood.
 *
 * @property agedReadsAtReplicas share of the reads with a stated age that replicas served.
 * @property sessionReadsAtReplicas share of the reads of the session's own writes that replicas served.
 * @property goodput requests answered per second, of all databases.
 * @property urgentOnTarget share of the urgent requests of kinds that do not flood that were answered on target.
 * @property othersAnswered share of the requests of kinds that do not flood that were answered.
 * @property recoveryMillis time from the end of the flood until requests are answered on target as before it.
 * @property idleWhileWaitingMillis slot time that went unused while work waited, of all members.
 * @property staleAnswers answers that lacked a write of the session.
 */
@Serializable
public data class RunFigures(
    val deployment: String,
    val scenario: String,
    val variant: String,
    val agedReadsAtReplicas: Double,
    val sessionReadsAtReplicas: Double,
    val goodput: Double,
    val attempts: Long,
    val urgentOnTarget: Double,
    val othersAnswered: Double,
    val recoveryMillis: Long,
    val idleWhileWaitingMillis: Long,
    val staleAnswers: Long,
    val kinds: List<KindFigures>,
)

/** All figures of one measurement. */
@Serializable
public data class MeasureReport(val seed: Long, val durationSeconds: Double, val runs: List<RunFigures>)

internal fun ScenarioResult.toFigures(): RunFigures = RunFigures(
    deployment = deployment.name,
    scenario = scenario.name,
    variant = variant.name,
    agedReadsAtReplicas = replicaShare,
    sessionReadsAtReplicas = sessionReplicaShare,
    goodput = recorder.goodput,
    attempts = recorder.attempts,
    urgentOnTarget = urgentOthersOnTarget,
    othersAnswered = recorder.answeredShare(others),
    recoveryMillis = recoveryTime.inWholeMilliseconds,
    idleWhileWaitingMillis = idleWhileWaiting.inWholeMilliseconds,
    staleAnswers = recorder.staleAnswers,
    kinds = deployment.kinds.map { kindFigures(it) },
)

private fun ScenarioResult.kindFigures(kind: LoadKind): KindFigures {
    val tally = recorder.tally(kind)
    return KindFigures(
        team = kind.team.value,
        kind = kind.name.value,
        rank = kind.rank.name.lowercase(),
        floods = kind in scenario.flooded,
        requests = tally.requests,
        onTargetShare = tally.onTargetShare,
        answered = tally.count(Ending.ANSWERED),
        notRun = tally.count(Ending.NOT_RUN),
        noAnswer = tally.count(Ending.NO_ANSWER),
        p50Millis = tally.latencyMillis(MEDIAN),
        p99Millis = tally.latencyMillis(NINETY_NINTH),
    )
}

internal fun Duration.inSeconds(): Double = toDouble(DurationUnit.SECONDS)

private const val MEDIAN = 50.0
private const val NINETY_NINTH = 99.0
