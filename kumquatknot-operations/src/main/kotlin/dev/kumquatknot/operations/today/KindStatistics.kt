package dev.kumquatknot.operations.today

import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.outcome.FailureReason
import kotlinx.serialization.Serializable

/**
 * Results of checks that read back acknowledged work.
 *
 * @property kept acknowledged work that was found.
 * @property lost acknowledged work that was not found.
 * @property doubled at-most-once work that was found more than once.
 * @property stale reads that missed a write of their own session or were older than allowed.
 */
@Serializable
public data class CheckFigures(
    val kept: Long = 0,
    val lost: Long = 0,
    val doubled: Long = 0,
    val stale: Long = 0,
) {
    /** Returns the sum of both. */
    public operator fun plus(other: CheckFigures): CheckFigures =
        CheckFigures(kept + other.kept, lost + other.lost, doubled + other.doubled, stale + other.stale)
}

/**
 * Figures of one kind of work on one day. Figures of different sources can be added.
 *
 * @property completed requests that completed, including repeated ones.
 * @property withinTarget completed requests that were answered within their target.
 * @property notRun requests that were refused or failed and certainly did not run, without the caller faults.
 * @property callerFaults requests that failed through a fault of the caller, such as a malformed request.
 * @property refusals number of [notRun] requests and requests of unknown outcome by reason.
 * @property primaryReads reads that the primary answered.
 * @property replicaReads reads that a replica answered.
 * @property repeated retries of at-most-once work that were answered from its record and ran nothing.
 * @property unknownKeys hashes of the idempotency keys of requests that ended with unknown outcome.
 * @property settledKeys hashes of the idempotency keys whose outcome was reported to the caller later.
 * @property unknownWithoutKey requests of unknown outcome that carried no key, or more than the key lists hold.
 * @property latencies latencies of the completed requests.
 */
@Serializable
public data class KindStatistics(
    val completed: Long = 0,
    val withinTarget: Long = 0,
    val notRun: Long = 0,
    val callerFaults: Long = 0,
    val refusals: Map<FailureReason, Long> = emptyMap(),
    val primaryReads: Long = 0,
    val replicaReads: Long = 0,
    val repeated: Long = 0,
    val unknownKeys: Set<String> = emptySet(),
    val settledKeys: Set<String> = emptySet(),
    val unknownWithoutKey: Long = 0,
    val checks: CheckFigures = CheckFigures(),
    val latencies: LatencyHistogram = LatencyHistogram.NONE,
) {
    /** Requests whose outcome is still unknown. */
    val openUnknown: Long get() = unknownWithoutKey + (unknownKeys - settledKeys).size

    /** Requests that count towards the target: all except the caller faults. */
    val served: Long get() = completed + notRun + unknownWithoutKey + unknownKeys.size

    /** Returns the sum of both, which must come from different sources. */
    public operator fun plus(other: KindStatistics): KindStatistics =
        KindStatistics(
            completed = completed + other.completed,
            withinTarget = withinTarget + other.withinTarget,
            notRun = notRun + other.notRun,
            callerFaults = callerFaults + other.callerFaults,
            refusals = (refusals.keys + other.refusals.keys).sorted().associateWith { reason ->
                (refusals[reason] ?: 0) + (other.refusals[reason] ?: 0)
            },
            primaryReads = primaryReads + other.primaryReads,
            replicaReads = replicaReads + other.replicaReads,
            repeated = repeated + other.repeated,
            unknownKeys = (unknownKeys + other.unknownKeys).sorted().toSet(),
            settledKeys = (settledKeys + other.settledKeys).sorted().toSet(),
            unknownWithoutKey = unknownWithoutKey + other.unknownWithoutKey,
            checks = checks + other.checks,
            latencies = latencies + other.latencies,
        )
}

/** A kind of work within its team. */
@Serializable
public data class KindIdentity(val team: TeamName, val kind: KindName) : Comparable<KindIdentity> {
    override fun compareTo(other: KindIdentity): Int = compareValuesBy(this, other, { it.team }, { it.kind })
}

/** [figures] of the kind of work [identity]. */
@Serializable
public data class KindEntry(val identity: KindIdentity, val figures: KindStatistics)
