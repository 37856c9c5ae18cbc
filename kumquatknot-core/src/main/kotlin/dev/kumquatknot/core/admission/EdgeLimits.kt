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

/** Key of a kind of work, whose name is unique within its team only. */
public data class TeamKind(val team: TeamName, val kind: KindName)

/** Refusal of a request before any of it ran; the caller may retry after [retryAfter]. */
public data class EdgeRefusal(val detail: String, val retryAfter: Duration)

/**
 * Limits the requests in flight at one VM, so that less urgent work never occupies every worker thread.
 *
 * Each rank is admitted up to its own share of [capacity], compared with the requests of all ranks together: background
 * work is refused first, urgent work last. One kind takes at most [KIND_SHARE_PERCENT] of its rank's limit, so that no
 * kind crowds out another of its rank. A kind with fewer than [KIND_FLOOR] requests in flight is refused only when
 * [capacity] is reached. Work that releases resources, such as a commit, is limited by [capacity] alone.
 *
 * Thread-safe; one lock guards the counts, and no other lock is taken while it is held.
 *
 * @param capacity maximum of requests in flight; must be below the number of threads, so that one is free to refuse.
 */
public class EdgeLimits(private val capacity: Int) {
    private val lock = ReentrantLock()
    private val inFlightByKind = HashMap<TeamKind, Int>()
    private var inFlight = 0

    init {
        require(capacity > 0) { "the capacity must be at least 1, but is $capacity" }
    }

    /** Returns the number of requests in flight. */
    public fun inFlight(): Int = lock.withLock { inFlight }

    /** Admits a request and counts it as in flight, or refuses it. [leave] must be called once per admitted request. */
    public fun enter(kind: TeamKind, rank: Rank, releasesResources: Boolean = false): Either<EdgeRefusal, Unit> =
        lock.withLock {
            val kindInFlight = inFlightByKind[kind] ?: 0
            val refusal = if (releasesResources) refusalByCapacity() else refusal(kind, rank, kindInFlight)
            if (refusal == null) {
                inFlightByKind[kind] = kindInFlight + 1
                inFlight += 1
                Unit.right()
            } else {
                EdgeRefusal(refusal, retryAfter(rank)).left()
            }
        }

    /** Ends an admitted request of [kind]. */
    public fun leave(kind: TeamKind) {
        lock.withLock {
            val kindInFlight = checkNotNull(inFlightByKind[kind]) { "no request of $kind is in flight" }
            if (kindInFlight == 1) inFlightByKind.remove(kind) else inFlightByKind[kind] = kindInFlight - 1
            inFlight -= 1
        }
    }

    private fun refusal(kind: TeamKind, rank: Rank, kindInFlight: Int): String? {
        val rankLimit = capacity * sharePercent(rank) / PERCENT
        return when {
            inFlight >= capacity -> refusalByCapacity()
            kindInFlight < KIND_FLOOR -> null
            kindInFlight >= rankLimit * KIND_SHARE_PERCENT / PERCENT ->
                "${kind.kind} has $kindInFlight requests in flight, its limit here"
            inFlight >= rankLimit -> "the VM serves no more work of rank ${rank.name.lowercase()} now"
            else -> null
        }
    }

    private fun refusalByCapacity(): String? =
        if (inFlight >= capacity) "the VM has $inFlight requests in flight, its limit" else null

    private fun sharePercent(rank: Rank): Int =
        when (rank) {
            Rank.URGENT -> URGENT_SHARE_PERCENT
            Rank.STANDARD -> STANDARD_SHARE_PERCENT
            Rank.BACKGROUND -> BACKGROUND_SHARE_PERCENT
        }

    private fun retryAfter(rank: Rank): Duration =
        when (rank) {
            Rank.URGENT -> URGENT_RETRY_AFTER
            Rank.STANDARD -> STANDARD_RETRY_AFTER
            Rank.BACKGROUND -> BACKGROUND_RETRY_AFTER
        }

    public companion object {
        /** Requests in flight below which a kind is limited by the capacity alone. */
        public const val KIND_FLOOR: Int = 2

        /** Maximum share of its rank's limit that one kind takes, in percent. */
        public const val KIND_SHARE_PERCENT: Int = 60

        private const val PERCENT = 100
        private const val URGENT_SHARE_PERCENT = 95
        private const val STANDARD_SHARE_PERCENT = 75
        private const val BACKGROUND_SHARE_PERCENT = 50
        private val URGENT_RETRY_AFTER = 200.milliseconds
        private val STANDARD_RETRY_AFTER = 500.milliseconds
        private val BACKGROUND_RETRY_AFTER = 1_000.milliseconds
    }
}
