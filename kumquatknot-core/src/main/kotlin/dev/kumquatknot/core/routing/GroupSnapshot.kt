package dev.kumquatknot.core.routing

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration

/** Whether a member takes new work. */
public enum class MemberAvailability {
    AVAILABLE,
    UNREACHABLE,

    /** The member is on the list of those that leave, or said so itself. */
    LEAVING,
}

/**
 * Load of a member as last reported.
 *
 * @property queued items that wait for a slot.
 * @property wait moving average of the time that admitted items waited.
 * @property serviceTime moving average of the time that a statement holds a slot.
 */
public data class MemberLoad(
    val slots: Int,
    val inFlight: Int,
    val queued: Int,
    val wait: Duration,
    val serviceTime: Duration,
) {
    /** Time until a statement sent now has been served. */
    val expectedAnswer: Duration
        get() = wait * minOf(1.0, inFlight / slots.toDouble()) + serviceTime * (1 + queued / slots.toDouble())
}

/**
 * What a VM knows about one member.
 *
 * @property lastEntry last log entry that the member was seen to hold; null where it was not seen in this term.
 * @property lag recent time between a write at the primary and its arrival at this replica; null where unknown.
 * @property roundTrip time to the member and back, over the VM that holds its connections.
 */
public data class MemberSnapshot(
    val member: MemberName,
    val availability: MemberAvailability,
    val lastEntry: HistoryPoint?,
    val lag: Duration?,
    val roundTrip: Duration,
    val load: MemberLoad,
)

/**
 * A point that the primary was seen to hold, where a majority stood in its term afterwards.
 *
 * @property seenAt moment of the node's monotonic clock before which the primary was asked.
 */
public data class ProvenPoint(val point: HistoryPoint, val seenAt: Duration)

/**
 * What a VM knows about one database group.
 *
 * @property primary the member that serves as primary in [term]; null during a change of primary.
 * @property provenPoints recent points of the primary, in the order of time.
 */
public data class GroupSnapshot(
    val term: Term,
    val primary: MemberName?,
    val members: List<MemberSnapshot>,
    val provenPoints: List<ProvenPoint>,
) {
    /**
     * Returns the lowest point that proves data to be at most [age] old at [now]; null where none does. Whoever has
     * reached what the primary held at a moment misses only what was written after it.
     */
    public fun pointProving(age: Duration, now: Duration): HistoryPoint? =
        provenPoints.firstOrNull { now - it.seenAt <= age }?.point
}
