package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.admission.Ticket
import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.customer.CustomerName
import kotlin.time.Duration

/** Why a pool refused a request. The work did not run. */
internal enum class PoolRefusal {
    OVERLOADED,
    NO_CONNECTION,
    CLOSED,
}

/**
 * A request for a slot and a connection for the statements of [customer]. The pool calls either [granted] or [refused],
 * exactly once, unless the request is cancelled.
 */
internal class PoolRequest(
    val item: WorkItem,
    val customer: CustomerName?,
    val granted: (PooledLink, PoolSlot) -> Unit,
    val refused: (PoolRefusal) -> Unit,
)

/** An occupied slot of a pool. Only the first call of [release] has an effect. */
internal class PoolSlot(
    private val admission: PoolAdmission,
    private val ticket: Ticket,
    private var usedSince: Duration,
) {
    private var ended = false

    /** Time after which the statement, if it has not begun to run, is not expected to meet its deadline. */
    val latestStart: Duration get() = ticket.latestStart

    /** Restarts the measurement of the service time at [now], so that it excludes the wait for a connection. */
    fun connected(now: Duration) {
        usedSince = now
    }

    /** Releases the slot; [ran] is whether a statement ran, [answered] whether the member answered it. */
    fun release(ran: Boolean, answered: Boolean) {
        if (ended) return
        ended = true
        admission.release(ticket, usedSince, ran, answered)
    }
}
