package dev.kumquatknot.core.routing

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration

/** Whether a member accepts new work. */
public enum class MemberAvailability {
    AVAILABLE,
    UNREACHABLE,

    /** The member is listed as leaving or has reported this itself. */
    LEAVING,
}

/**
 * Last reported load of a member.
 *
 * @property queued number of items that wait for a slot.
 * @property wait moving average of the time that admitted items waited for a slot.
 * @property serviceTime moving average of the time that a statement holds a slot.
 */
public data class MemberLoad(
    val slots: Int,
    val inFlight: Int,
    val queued: Int,
    val wait: Duration,
    val serviceTime: Duration,
) {
    /** Expected time until a statement that arrives at the member now has been served. */
    val expectedAnswer: Duration
        get() = wait * minOf(1.0, inFlight / slots.toDouble()) + serviceTime * (1 + queued / slots.toDouble())
}

/**
 * Last known state of one member as seen by a VM.
 *
 * @property lastEntry last log entry observed at the member; null if it was not observed in this term.
 * @property lag recent replication delay from the primary to this replica; null if unknown.
 * @property roundTrip round-trip time to the member, through the VM that holds its connections.
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
 * A point observed at the primary, for which a majority was seen in the primary's term afterwards.
 *
 * @property seenAt time of the node's monotonic clock before which the primary was queried.
 */
public data class ProvenPoint(val point: HistoryPoint, val seenAt: Duration)

/**
 * Last known state of one database group as seen by a VM.
 *
 * @property primary the member that serves as primary in [term]; null while there is none, for example during a
 * failover.
 * @property provenPoints recent points of the primary, oldest first.
 */
public data class GroupSnapshot(
    val term: Term,
    val primary: MemberName?,
    val members: List<MemberSnapshot>,
    val provenPoints: List<ProvenPoint>,
) {
    /**
     * Returns the lowest point that proves data to be at most [age] old at [now], or null. A member that has reached
     * the point which the primary held at some time lacks only the writes made after that time.
     */
    public fun oldestPointWithinAge(age: Duration, now: Duration): HistoryPoint? =
        provenPoints.firstOrNull { now - it.seenAt <= age }?.point
}
