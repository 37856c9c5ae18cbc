package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Log points that the proved primary of one group has reported, each with the time at which the request was sent. A
 * replica that has reached a point holds every write that was acknowledged before that time.
 *
 * Confined to one thread.
 */
public class FreshnessProofs {
    private val proofs = ArrayDeque<Proof>()

    /** The newest proved point; null where there is none. */
    public val latest: HistoryPoint? get() = proofs.lastOrNull()?.point

    /** Time at which the request that led to the newest proof was sent. */
    public val latestProofRequestedAt: Duration? get() = proofs.lastOrNull()?.sentAt

    /** Records that the proved primary was at [point] when it answered a request sent at [sentAt]. */
    public fun record(point: HistoryPoint, sentAt: Duration) {
        val last = proofs.lastOrNull()
        if (last != null && (sentAt < last.sentAt || point < last.point)) return
        val beforeLast = if (proofs.size > 1) proofs[proofs.size - 2] else null
        if (beforeLast != null && sentAt - beforeLast.sentAt < MINIMUM_SPACING) proofs.removeLast()
        proofs.addLast(Proof(point, sentAt))
        while (proofs.size > 1 && sentAt - proofs.first().sentAt > RETENTION) proofs.removeFirst()
    }

    /**
     * Records that another member is now the primary and was at [point] when it answered a request sent at [sentAt].
     * Entries of the former primary beyond [point] were rolled back and no member will reach them, so earlier proofs
     * are capped there.
     */
    public fun recordPrimaryChange(point: HistoryPoint, sentAt: Duration) {
        val cappedProofs = proofs.map { it.copy(point = minOf(it.point, point)) }.filter { it.sentAt < sentAt }
        proofs.clear()
        proofs += cappedProofs
        proofs.addLast(Proof(point, sentAt))
    }

    /** Returns the lowest point that guarantees data no older than [maximumAge] at [now], or null without a proof. */
    public fun required(now: Duration, maximumAge: Duration): HistoryPoint? {
        // No element compares as equal, so the result encodes where the first proof that is recent enough stands.
        val first = -proofs.binarySearch { if (now - it.sentAt <= maximumAge) 1 else -1 } - 1
        return proofs.getOrNull(first)?.point
    }

    /** Discards all proofs, for when their ages are no longer known. */
    public fun reset() {
        proofs.clear()
    }

    private data class Proof(val point: HistoryPoint, val sentAt: Duration)

    private companion object {
        /** Minimum time between proofs; a finer spacing would hardly let more replicas serve. */
        val MINIMUM_SPACING = 40.milliseconds

        /** Exceeds the staleness that routes allow, and bounds the list. */
        val RETENTION = 10.seconds
    }
}
