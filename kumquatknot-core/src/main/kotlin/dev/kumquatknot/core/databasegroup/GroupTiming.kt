package dev.kumquatknot.core.databasegroup

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Intervals, timeouts and thresholds for probing the members of a group and replacing its primary.
 *
 * @property probeInterval time between two reports of a member while the group is healthy.
 * @property suspectedProbeInterval time between two reports of a member while the primary is suspected or lost.
 * @property confirmationInterval time between two reports of a member while writes wait for confirmation by it or
 * reads for proof that a majority follows the primary.
 * @property probeTimeout timeout of a report call; an answer within it counts, however slow.
 * @property reportValidity age up to which the last report of a member counts as its current state.
 * @property missesWithDisconnectedReplicas consecutive misses after which a primary counts as silent, which is enough
 * if no replica is in contact with it either. The second call uses a new connection.
 * @property falsePositiveRate probability that message loss alone causes the consecutive misses after which a primary
 * counts as lost although a replica is in contact with it; it and the observed loss rate give the number of misses.
 * @property minimumLossRate loss rate that is assumed at least, also for a link that has lost no call.
 * @property maximumMisses upper limit of the consecutive misses needed, whatever the loss rate.
 * @property minimumSilence shortest time without an answer after which a primary counts as silent, however fast its
 * misses follow each other.
 * @property replicaSilence time without contact after which a replica counts as disconnected from its primary.
 * @property cutOffSilence time without contact after which replicas count as cut off from a primary that still answers.
 * @property noPrimaryGrace time that a promotion by another VM gets before this one starts its own.
 * @property termConflictGrace time for which a minority may stay in a higher term than the primary's.
 * @property rankDelay time that each VM waits for each VM ranked before it.
 * @property callTimeout timeout of one call that accepts a term, promotes or follows.
 * @property retryInterval time between two attempts of such a call.
 * @property promotionDeadline time after which a promotion without a majority is abandoned.
 * @property initialBackoff delay after the first lost or abandoned promotion, before jitter; doubles with each until
 * [maximumBackoff].
 * @property pauseThreshold gap between two events after which this VM counts as having been paused itself.
 */
public data class GroupTiming(
    val probeInterval: Duration = 200.milliseconds,
    val suspectedProbeInterval: Duration = 50.milliseconds,
    val confirmationInterval: Duration = 5.milliseconds,
    val probeTimeout: Duration = 800.milliseconds,
    val reportValidity: Duration = 1500.milliseconds,
    val missesWithDisconnectedReplicas: Int = 2,
    val falsePositiveRate: Double = 1e-5,
    val minimumLossRate: Double = 0.02,
    val maximumMisses: Int = 10,
    val minimumSilence: Duration = 1.seconds,
    val replicaSilence: Duration = 600.milliseconds,
    val cutOffSilence: Duration = 1500.milliseconds,
    val noPrimaryGrace: Duration = 600.milliseconds,
    val termConflictGrace: Duration = 5.seconds,
    val rankDelay: Duration = 400.milliseconds,
    val callTimeout: Duration = 400.milliseconds,
    val retryInterval: Duration = 100.milliseconds,
    val promotionDeadline: Duration = 1500.milliseconds,
    val initialBackoff: Duration = 100.milliseconds,
    val maximumBackoff: Duration = 2.seconds,
    val pauseThreshold: Duration = 600.milliseconds,
) {
    public companion object {
        /** Bytes of one report call on the wire, with request, answer and headers. */
        public const val REPORT_BYTES: Int = 200

        /** Budget of a VM in bytes per second for the reports of all groups it observes. */
        public const val REPORT_BYTES_PER_SECOND: Int = 6_000

        private const val MILLISECONDS_PER_SECOND = 1_000

        /**
         * Returns the timing for a VM that observes [groups] groups of [membersPerGroup] members. The probe interval
         * grows with their number, so that the reports stay within [REPORT_BYTES_PER_SECOND].
         */
        public fun forGroups(groups: Int, membersPerGroup: Int = 3): GroupTiming {
            val base = GroupTiming()
            val bytesPerRound = groups * membersPerGroup * REPORT_BYTES
            val affordableInterval = (bytesPerRound * MILLISECONDS_PER_SECOND / REPORT_BYTES_PER_SECOND).milliseconds
            return base.copy(probeInterval = maxOf(base.probeInterval, affordableInterval))
        }
    }
}
