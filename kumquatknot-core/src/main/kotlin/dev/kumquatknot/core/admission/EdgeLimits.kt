package dev.kumquatknot.core.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.TeamName
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A kind of work of one team. */
public data class TeamKind(val team: TeamName, val kind: KindName)

/** Refusal at the edge: nothing ran. [retryAfter] tells the caller when to come back. */
public data class EdgeRefusal(val detail: String, val retryAfter: Duration)

/**
 * Bounds the requests in flight at one VM's edge, so that less urgent work never takes every worker.
 *
 * Every rank may fill the edge up to its own share of [capacity], counted over all ranks: background work stops first,
 * urgent work last. Within its rank's share one kind takes at most [KIND_SHARE], so no kind crowds out another of its
 * rank. A kind with fewer than [KIND_FLOOR] requests in flight is admitted as long as the edge has any room at all.
 * Work that gives resources back, such as a commit, is bounded by [capacity] alone.
 *
 * Thread-safe; one lock guards the counts, and no other lock is taken while it is held.
 *
 * @param capacity requests in flight in all; keep it below the number of threads, so that a refusal finds one.
 */
public class EdgeLimits(private val capacity: Int) {
    private val lock = ReentrantLock()
    private val inFlightByKind = HashMap<TeamKind, Int>()
    private var inFlight = 0

    init {
        require(capacity > 0) { "the capacity is $capacity, at least 1 is needed" }
    }

    /** Requests in flight now. */
    public fun inFlight(): Int = lock.withLock { inFlight }

    /** Counts a request in, or refuses it. Each admitted request calls [leave] once. */
    public fun enter(kind: TeamKind, rank: Rank, releasesResources: Boolean = false): Either<EdgeRefusal, Unit> =
        lock.withLock {
            val ofKind = inFlightByKind[kind] ?: 0
            val refusal = if (releasesResources) refusalByCapacity() else refusal(kind, rank, ofKind)
            if (refusal == null) {
                inFlightByKind[kind] = ofKind + 1
                inFlight += 1
                Unit.right()
            } else {
                EdgeRefusal(refusal, retryAfter(rank)).left()
            }
        }

    /** Counts a request of [kind] out. */
    public fun leave(kind: TeamKind) {
        lock.withLock {
            val ofKind = checkNotNull(inFlightByKind[kind]) { "no request of $kind is in flight" }
            if (ofKind == 1) inFlightByKind.remove(kind) else inFlightByKind[kind] = ofKind - 1
            inFlight -= 1
        }
    }

    private fun refusal(kind: TeamKind, rank: Rank, ofKind: Int): String? {
        val rankLimit = capacity * sharePercent(rank) / PERCENT
        return when {
            inFlight >= capacity -> refusalByCapacity()
            ofKind < KIND_FLOOR -> null
            ofKind >= rankLimit * KIND_SHARE / PERCENT -> "${kind.kind} has $ofKind requests in flight, its limit here"
            inFlight >= rankLimit -> "the VM serves no more work of rank ${rank.name.lowercase()} now"
            else -> null
        }
    }

    private fun refusalByCapacity(): String? =
        if (inFlight >= capacity) "the VM has $inFlight requests in flight, its limit" else null

    private fun sharePercent(rank: Rank): Int =
        when (rank) {
            Rank.URGENT -> URGENT_SHARE
            Rank.STANDARD -> STANDARD_SHARE
            Rank.BACKGROUND -> BACKGROUND_SHARE
        }

    private fun retryAfter(rank: Rank): Duration =
        when (rank) {
            Rank.URGENT -> URGENT_RETRY
            Rank.STANDARD -> STANDARD_RETRY
            Rank.BACKGROUND -> BACKGROUND_RETRY
        }

    public companion object {
        /** Requests in flight below which a kind is not bounded by its rank. */
        public const val KIND_FLOOR: Int = 2

        /** Share of its rank's limit that one kind takes at most, in percent. */
        public const val KIND_SHARE: Int = 60

        private const val PERCENT = 100
        private const val URGENT_SHARE = 95
        private const val STANDARD_SHARE = 75
        private const val BACKGROUND_SHARE = 50
        private val URGENT_RETRY = 200.milliseconds
        private val STANDARD_RETRY = 500.milliseconds
        private val BACKGROUND_RETRY = 1_000.milliseconds
    }
}
