package dev.kumquatknot.core.admission

import dev.kumquatknot.core.configuration.Rank
import kotlin.time.Duration

/** Place of a [WorkItem] in an [AdmissionQueue]. It is released or cancelled exactly once. */
public class Ticket internal constructor(
    public val item: WorkItem,
    internal val flow: Flow,
    internal val offeredAt: Duration,
    internal var expectedService: Duration,
) {
    internal var state: TicketState = TicketState.WAITING

    /** Time after which the item, if it has not begun to run, is not expected to meet its deadline. */
    public val latestStart: Duration get() = item.deadline - expectedService

    override fun toString(): String = "ticket of ${item.id}"
}

internal enum class TicketState {
    WAITING,
    RUNNING,
    ENDED,
}

/** Why an [AdmissionQueue] refused an item, which did not run. */
public enum class RefusalReason {
    /** The deadline cannot be met, given the work queued ahead and the measured service time. */
    DEADLINE_UNREACHABLE,

    /** The kind has a standing queue, and the item could not be answered within its share of the target. */
    OVERLOADED,

    /** A waiting item could no longer finish before its deadline. */
    DEADLINE_PASSED,
}

/** Result of offering an item to an [AdmissionQueue]. */
public sealed interface Admission {
    /** The item holds a slot and may run now. */
    public data class Granted(val ticket: Ticket) : Admission

    /** The item is queued and is expected to get a slot after [expectedWait]. */
    public data class Queued(val ticket: Ticket, val expectedWait: Duration) : Admission

    /** The item was not admitted and does not run; the caller may retry after [retryAfter]. */
    public data class Refused(val reason: RefusalReason, val retryAfter: Duration) : Admission
}

/** A waiting item that was refused before it ran. */
public data class ExpiredTicket(val ticket: Ticket, val refusal: Admission.Refused)

/** The waiting items that an operation on an [AdmissionQueue] granted a slot or refused. */
public data class QueueChanges(val granted: List<Ticket>, val expired: List<ExpiredTicket>) {
    public companion object {
        /** No waiting item was affected. */
        public val NONE: QueueChanges = QueueChanges(emptyList(), emptyList())
    }
}

/**
 * Load of one member, taken from its [AdmissionQueue].
 *
 * @property limit current limit of statements that run at the same time.
 * @property queued number of waiting items per rank.
 * @property serviceTime moving average of the time that a statement holds a slot.
 * @property wait moving average of the time from an item's offer until it was granted a slot.
 */
public data class QueueLoad(
    val limit: Int,
    val inFlight: Int,
    val queued: Map<Rank, Int>,
    val serviceTime: Duration,
    val wait: Duration,
)
