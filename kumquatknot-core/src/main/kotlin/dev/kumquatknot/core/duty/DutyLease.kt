package dev.kumquatknot.core.duty

import dev.kumquatknot.core.platform.StoreEra
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/**
 * Lease record of a duty in the platform's object store.
 *
 * @property holder name of the process that holds the lease; empty after a release.
 * @property token fencing token, which grows with each new holder and each [DutyLease.advancedRecord].
 * @property renewal count of renewals, so that each renewal changes the stored record.
 */
@Serializable
public data class DutyRecord(val holder: String, val token: Long, val renewal: Long)

/** Next action of the owner of a [DutyLease]. */
public sealed interface LeaseStep {
    /** Writes [record] over the version that was observed. */
    public data class Write(val record: DutyRecord) : LeaseStep

    /** Polls the record again later. */
    public data object Wait : LeaseStep
}

/**
 * One process's side of the lease of one duty. The lease is taken over after its record has stayed unchanged for
 * [validity], and counts as held for a shorter time after its last renewal was sent. Safety with two holders at once
 * comes from the fencing token, not from the lease.
 *
 * Each era of the store has a record of its own, so that a conditional write of an earlier era can't replace a record
 * that got the same revision later. The era is the upper half of the token: tokens of an era exceed all earlier ones,
 * also those that the store has lost. In a new era the holder of the former one may create the record at once; the
 * other processes wait until its lease has certainly ended.
 *
 * Confined to one thread.
 *
 * @param processName name of this process, unique across all VMs and their restarts.
 */
public class DutyLease(private val processName: String, private val validity: Duration) {
    private var observed: DutyRecord? = null

    /** The record that was read or written last; null if there is none. */
    public val latestRecord: DutyRecord? get() = observed
    private var observedAt: Duration? = null

    /** This process's record as the store certainly has it; a stale read is not enough to write over a record. */
    private var ownRecord: DutyRecord? = null

    /** Era of the store in which the lease is held or observed. */
    public var era: StoreEra = StoreEra.UNKNOWN
        private set

    /** Time until which this process may act for the duty; null where it may not act. */
    public var heldUntil: Duration? = null
        private set
    private var token = 0L

    /** Starts anew in [next], as the store has lost the record; the lease of the former era ends at its time. */
    public fun enterEra(next: StoreEra) {
        era = next
        observed = null
        observedAt = null
        ownRecord = null
    }

    /**
     * Records the [record] read from the store, null where there is none, and returns the action to take at [now].
     *
     * @param isStale whether the store may have a newer record; the action then needs to be confirmed by another read.
     */
    public fun observe(record: DutyRecord?, now: Duration, isStale: Boolean = false): LeaseStep {
        if (!isStale) ownRecord = record?.takeIf { it.holder == processName }
        if (record != observed || observedAt == null) {
            observed = record
            observedAt = now
        }
        return when {
            record == null -> if (mayCreate(now)) LeaseStep.Write(firstRecord()) else LeaseStep.Wait
            record.holder == processName -> LeaseStep.Write(record.copy(renewal = record.renewal + 1))
            record.holder.isEmpty() || hasExpired(now) -> LeaseStep.Write(takeoverRecord(record))
            else -> LeaseStep.Wait.also { heldUntil = null }
        }
    }

    /** Records that the store acknowledged the write of [record], which was sent at [sentAt]. */
    public fun recordWrite(record: DutyRecord, sentAt: Duration) {
        observed = record
        observedAt = sentAt
        token = record.token
        ownRecord = record.takeIf { it.holder == processName }
        heldUntil = if (record.holder == processName) sentAt + validity * HELD_FRACTION else null
    }

    /** Returns the record that renews the lease; null where this process was not the holder at the last observation. */
    public fun renewedRecord(): DutyRecord? = ownRecord?.let { it.copy(renewal = it.renewal + 1) }

    /** Returns the fencing token while this process may act, and null otherwise. */
    public fun fencingTokenAt(now: Duration): Long? = token.takeIf { heldUntil?.let { until -> now < until } ?: false }

    /** Returns the record with a higher token, which fences off earlier orders of this holder; null where not held. */
    public fun advancedRecord(): DutyRecord? =
        ownRecord?.let { it.copy(token = it.token + 1, renewal = it.renewal + 1) }

    /** Returns the record that releases the lease; null where it is not held. */
    public fun releasedRecord(): DutyRecord? = ownRecord?.copy(holder = "")

    private fun mayCreate(now: Duration) =
        era == StoreEra.UNKNOWN || fencingTokenAt(now) != null || hasExpired(now)

    private fun hasExpired(now: Duration) = observedAt?.let { now - it > validity } ?: false

    private fun firstRecord() = DutyRecord(processName, (era.value shl TOKEN_BITS) + 1, 0)

    private fun takeoverRecord(record: DutyRecord) = DutyRecord(processName, record.token + 1, record.renewal + 1)

    private companion object {
        /** Fraction of the validity for which the holder acts; the rest allows for clocks of different speed. */
        const val HELD_FRACTION = 0.8

        /** Bits of the token that count within one era. */
        const val TOKEN_BITS = 32
    }
}
