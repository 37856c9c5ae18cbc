package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Points that the primary of one group was proved to be at, each with the time before which the question was sent. A
 * replica that has reached a point holds every write that was acknowledged before that time.
 *
 * Confined to one thread.
 */
public class FreshnessProofs {
    private val proofs = ArrayDeque<Proof>()

    /** The highest point proved; null where none is. */
    public val latest: HistoryPoint? get() = proofs.lastOrNull()?.point

    /** Time at which the newest proof was asked for. */
    public val latestProofRequestedAt: Duration? get() = proofs.lastOrNull()?.askedAt

    /** Notes that a proved primary was at [point] when it answered a question sent at [askedAt]. */
    public fun record(point: HistoryPoint, askedAt: Duration) {
        val last = proofs.lastOrNull()
        if (last != null && (askedAt < last.askedAt || point < last.point)) return
        val beforeLast = if (proofs.size > 1) proofs[proofs.size - 2] else null
        if (beforeLast != null && askedAt - beforeLast.askedAt < SPACING) proofs.removeLast()
        proofs.addLast(Proof(point, askedAt))
        while (proofs.size > 1 && askedAt - proofs.first().askedAt > KEPT) proofs.removeFirst()
    }

    /**
     * Notes that another member leads, and that it was at [point] when it answered a question sent at [askedAt]. What
     * the former primary had beyond that was rolled back, and no member will reach it.
     */
    public fun recordPrimaryChange(point: HistoryPoint, askedAt: Duration) {
        val kept = proofs.map { it.copy(point = minOf(it.point, point)) }.filter { it.askedAt < askedAt }
        proofs.clear()
        proofs += kept
        proofs.addLast(Proof(point, askedAt))
    }

    /** Returns the lowest point that no data older than [maximumAge] at [now] can be at; null where none is proved. */
    public fun required(now: Duration, maximumAge: Duration): HistoryPoint? =
        proofs.firstOrNull { now - it.askedAt <= maximumAge }?.point

    /** Forgets all proofs, as their ages are no longer known. */
    public fun forget() {
        proofs.clear()
    }

    private data class Proof(val point: HistoryPoint, val askedAt: Duration)

    private companion object {
        /** Least distance of proofs; finer steps would hardly let more replicas serve. */
        val SPACING = 40.milliseconds

        /** Above the staleness that routes allow, and enough to bound the list. */
        val KEPT = 10.seconds
    }
}
