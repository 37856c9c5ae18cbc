package dev.kumquatknot.core.duty

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides when a process reads or renews the record of a duty again.
 *
 * A few candidates read as often as the holder renews. The others, the reserve, read seldom. A record that was renewed
 * as often between two reads as a living holder does needs no further look before the next read: a holder that was lost
 * after that is found by the next read, as the lease has ended by then. Any other record is in doubt and is read again
 * when its lease has ended.
 *
 * Confined to one thread.
 *
 * @param renewalInterval interval of the holder's renewals.
 * @param validity time without a renewal after which the lease may be taken over.
 * @param reserveInterval interval of the reserve's reads; above [validity].
 */
public class ObservationSchedule(
    private val renewalInterval: Duration,
    private val validity: Duration,
    private val reserveInterval: Duration,
) {
    private var renewal: Long? = null
    private var observedAt = Duration.ZERO

    /**
     * Returns the delay until the next step of a process of [rank] after the step at [now].
     *
     * @param isActive whether the process holds the duty.
     * @param record the record that the process knows now; null if there is none.
     */
    public fun delayAfter(rank: Int, isActive: Boolean, record: DutyRecord?, now: Duration): Duration {
        val isInDoubt = isInDoubt(record, now)
        renewal = record?.renewal
        observedAt = now
        return when {
            isActive || record == null || rank < CANDIDATES -> renewalInterval
            isInDoubt -> validity + RESOLUTION
            else -> reserveInterval
        }
    }

    private fun isInDoubt(record: DutyRecord?, now: Duration): Boolean {
        val previous = renewal
        if (record == null || previous == null) return true
        return renewalInterval * (record.renewal - previous).toDouble() < (now - observedAt) * LIVING_SHARE
    }

    public companion object {
        /** Number of VMs in each region that read the record as often as it is renewed. */
        public const val CANDIDATES: Int = 2

        /**
         * Share of the renewals that a living holder makes at least; the calls to the store take some of the time.
         * Above this share, the holder was lost at most 2 s before the read.
         */
        private const val LIVING_SHARE = 0.6

        /** The lease has ended once it is older than its validity. */
        private val RESOLUTION = 1.milliseconds
    }
}
