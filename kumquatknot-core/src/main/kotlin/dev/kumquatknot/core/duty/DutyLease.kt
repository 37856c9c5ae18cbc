package dev.kumquatknot.core.duty

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/**
 * State of a duty in the platform's store.
 *
 * @property holder the process that holds it; empty where it was given up.
 * @property token fencing token, which grows with each holder and each new decision of one holder.
 * @property renewal counts the renewals, so that each changes the object.
 */
@Serializable
public data class DutyRecord(val holder: String, val token: Long, val renewal: Long)

/** What the owner of a [DutyLease] does next. */
public sealed interface LeaseStep {
    /** Writes [record] over the version that was observed. */
    public data class Write(val record: DutyRecord) : LeaseStep

    /** Waits for another look. */
    public data object Wait : LeaseStep
}

/**
 * The lease of one duty as one process sees it. It is taken over after its record has stayed unchanged for [validity],
 * and held for less than that after the last renewal was sent. Fencing, not the lease, makes two holders harmless.
 *
 * Confined to one thread.
 *
 * @param self name of this process, unique among all lives of all VMs.
 */
public class DutyLease(private val self: String, private val validity: Duration) {
    private var seen: DutyRecord? = null
    private var seenAt = Duration.ZERO

    /** Until when this process may act; null where it may not. */
    public var heldUntil: Duration? = null
        private set
    private var token = 0L

    /** Notes the [record] in the store, null where there is none, and returns what to do at [now]. */
    public fun observe(record: DutyRecord?, now: Duration): LeaseStep {
        if (record != seen) {
            seen = record
            seenAt = now
        }
        return when {
            record == null -> LeaseStep.Write(DutyRecord(self, 1, 0))
            record.holder == self -> LeaseStep.Write(record.copy(renewal = record.renewal + 1))
            record.holder.isEmpty() || now - seenAt > validity -> LeaseStep.Write(taken(record))
            else -> LeaseStep.Wait.also { heldUntil = null }
        }
    }

    /** Notes that the store acknowledged [record], the writing of which began at [sentAt]. */
    public fun recordWrite(record: DutyRecord, sentAt: Duration) {
        seen = record
        seenAt = sentAt
        token = record.token
        heldUntil = if (record.holder == self) sentAt + validity * HELD_PART else null
    }

    /** Returns the record that renews the duty; null where this process does not hold it as far as it knows. */
    public fun renewed(): DutyRecord? =
        seen?.takeIf { it.holder == self }?.let { it.copy(renewal = it.renewal + 1) }

    /** Returns the fencing token while this process may act, and null otherwise. */
    public fun fencingTokenAt(now: Duration): Long? = token.takeIf { heldUntil?.let { until -> now < until } ?: false }

    /** Returns the record that fences off everything that this holder ordered before; null where it holds nothing. */
    public fun advancedRecord(): DutyRecord? =
        seen?.takeIf { it.holder == self }?.let { it.copy(token = it.token + 1, renewal = it.renewal + 1) }

    /** Returns the record that gives the duty up; null where it is not held. */
    public fun releasedRecord(): DutyRecord? = seen?.takeIf { it.holder == self }?.copy(holder = "")

    private fun taken(record: DutyRecord) = DutyRecord(self, record.token + 1, record.renewal + 1)

    private companion object {
        /** Part of the validity for which the holder acts; the rest covers clocks that run at different speeds. */
        const val HELD_PART = 0.8
    }
}
