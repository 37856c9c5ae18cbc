package dev.kumquatknot.core.databasegroup

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times by which a group is observed and its primary replaced.
 *
 * @property probeInterval time between two reports of a member while the group is healthy.
 * @property suspectedProbeInterval time between two reports of a member while the primary is in doubt.
 * @property confirmationInterval time between two reports of a replica while writes wait for their confirmation.
 * @property probeTimeout time within which an answer counts, however slow.
 * @property reportValidity age up to which the last report of a member counts as its present state.
 * @property missesWithDeafReplicas consecutive misses that prove the loss of a primary that no replica hears either.
 * The second one goes over a fresh connection.
 * @property falseAlarmRate how often lost messages alone may cause the run of misses that proves the loss of a primary
 * that a replica still hears; the number of misses follows from it and from the measured share of lost calls.
 * @property minimumLossRate share of lost calls that is assumed of a link that has lost none.
 * @property maximumMisses consecutive misses that are enough over any link.
 * @property minimumSilence shortest silence of a primary that proves its loss, however fast its misses come.
 * @property replicaSilence time without contact after which a replica no longer hears its primary.
 * @property cutOffSilence time without contact to any replica after which a primary that still answers is replaced.
 * @property leaderlessGrace time that a promotion under way elsewhere gets before another one starts.
 * @property conflictGrace time that a single replica may stay in a higher term than the primary's.
 * @property rankDelay time that each VM waits for each VM ranked before it.
 * @property callTimeout timeout of one call that accepts a term, promotes or follows.
 * @property retryInterval time between two attempts of such a call.
 * @property promotionDeadline time after which a promotion without a majority is abandoned.
 * @property backoff shortest wait after a lost or failed promotion; doubles with each until [maximumBackoff].
 * @property pauseBound gap between two wake-ups that shows that this VM itself was paused.
 */
public data class GroupTiming(
    val probeInterval: Duration = 200.milliseconds,
    val suspectedProbeInterval: Duration = 50.milliseconds,
    val confirmationInterval: Duration = 5.milliseconds,
    val probeTimeout: Duration = 800.milliseconds,
    val reportValidity: Duration = 1500.milliseconds,
    val missesWithDeafReplicas: Int = 2,
    val falseAlarmRate: Double = 1e-5,
    val minimumLossRate: Double = 0.02,
    val maximumMisses: Int = 10,
    val minimumSilence: Duration = 1.seconds,
    val replicaSilence: Duration = 600.milliseconds,
    val cutOffSilence: Duration = 1500.milliseconds,
    val leaderlessGrace: Duration = 600.milliseconds,
    val conflictGrace: Duration = 5.seconds,
    val rankDelay: Duration = 400.milliseconds,
    val callTimeout: Duration = 400.milliseconds,
    val retryInterval: Duration = 100.milliseconds,
    val promotionDeadline: Duration = 1500.milliseconds,
    val backoff: Duration = 100.milliseconds,
    val maximumBackoff: Duration = 2.seconds,
    val pauseBound: Duration = 600.milliseconds,
) {
    public companion object {
        /** Bytes of one report on the wire, request, answer and headers included. */
        public const val REPORT_BYTES: Int = 200

        /** Bytes a second that a VM spends on the reports of all groups it observes. */
        public const val REPORT_BYTES_PER_SECOND: Int = 6_000

        private const val MILLISECONDS_PER_SECOND = 1_000

        /**
         * Returns the times for a VM that observes [groups] groups of [membersEach] members. The probe interval grows
         * with their number, so that the reports stay within [REPORT_BYTES_PER_SECOND].
         */
        public fun forGroups(groups: Int, membersEach: Int = 3): GroupTiming {
            val base = GroupTiming()
            val bytesARound = groups * membersEach * REPORT_BYTES
            val affordable = (bytesARound * MILLISECONDS_PER_SECOND / REPORT_BYTES_PER_SECOND).milliseconds
            return base.copy(probeInterval = maxOf(base.probeInterval, affordable))
        }
    }
}
