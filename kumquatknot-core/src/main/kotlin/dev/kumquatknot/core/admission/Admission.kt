package dev.kumquatknot.core.admission

import dev.kumquatknot.core.configuration.Rank
import kotlin.time.Duration

/** Place of a [WorkItem] in an [AdmissionQueue]. It is given back exactly once, by a release or a cancellation. */
public class Ticket internal constructor(
    public val item: WorkItem,
    internal val flow: Flow,
    internal val offeredAt: Duration,
    internal var expectedService: Duration,
) {
    internal var state: TicketState = TicketState.WAITING

    override fun toString(): String = "ticket of ${item.id}"
}

internal enum class TicketState {
    WAITING,
    RUNNING,
    ENDED,
}

/** Why an item was refused; it did not run. */
public enum class RefusalReason {
    /** The deadline cannot be met, given the work ahead and the measured service time. */
    DEADLINE_UNREACHABLE,

    /** The kind has had a standing queue for some time and takes in no more than it can answer on target. */
    OVERLOADED,

    /** The deadline went by while the item waited. */
    DEADLINE_PASSED,
}

/** Result of offering an item to an [AdmissionQueue]. */
public sealed interface Admission {
    /** The item holds a slot and runs now. */
    public data class Granted(val ticket: Ticket) : Admission

    /** The item waits for a slot, for about [expectedWait]. */
    public data class Queued(val ticket: Ticket, val expectedWait: Duration) : Admission

    /** The item did not and will not run; the caller may come back after [retryAfter]. */
    public data class Refused(val reason: RefusalReason, val retryAfter: Duration) : Admission
}

/** A waiting item that was refused before it ran. */
public data class ExpiredTicket(val ticket: Ticket, val refusal: Admission.Refused)

/** What a change of an [AdmissionQueue] did to waiting items. */
public data class QueueChanges(val granted: List<Ticket>, val expired: List<ExpiredTicket>) {
    public companion object {
        /** No waiting item was affected. */
        public val NONE: QueueChanges = QueueChanges(emptyList(), emptyList())
    }
}

/**
 * Load of one member as its queue sees it.
 *
 * @property limit statements that may run at the same time now.
 * @property queued waiting items per rank.
 * @property serviceTime moving average of the time that a statement holds a slot.
 * @property wait moving average of the time that an admitted item waited for its slot.
 */
public data class QueueLoad(
    val limit: Int,
    val inFlight: Int,
    val queued: Map<Rank, Int>,
    val serviceTime: Duration,
    val wait: Duration,
)
