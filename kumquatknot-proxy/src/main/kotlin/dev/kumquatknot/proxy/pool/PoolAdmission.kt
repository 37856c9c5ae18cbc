package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.admission.Admission
import dev.kumquatknot.core.admission.AdmissionPolicy
import dev.kumquatknot.core.admission.AdmissionQueue
import dev.kumquatknot.core.admission.QueueChanges
import dev.kumquatknot.core.admission.Ticket
import dev.kumquatknot.core.admission.strictRankWithinTeamShares
import kotlin.time.Duration

/**
 * Admits requests to this VM's share of a member's slots. Calls [granted] for each request that gets a slot.
 *
 * @param slots number of slots that this VM fills at first.
 */
internal class PoolAdmission(
    slots: Int,
    private val now: () -> Duration,
    private val granted: (PoolRequest, PoolSlot) -> Unit,
) {
    private val queue = AdmissionQueue(slots, AdmissionPolicy(selectFlow = ::strictRankWithinTeamShares))
    private val queued = HashMap<Ticket, PoolRequest>()

    /** Observed time that the member takes for a statement. */
    val serviceTime: Duration get() = queue.load().serviceTime

    /** Slots within the current limit that no request uses. */
    val freeSlots: Int get() = queue.load().let { (it.limit - it.inFlight).coerceAtLeast(0) }

    /** Whether requests wait for a slot. */
    val hasQueue: Boolean get() = queue.load().queued.values.any { it > 0 }

    /** Estimated time that a new request would wait for a slot. */
    fun expectedWait(): Duration {
        val load = queue.load()
        val ahead = load.queued.values.sum() + load.inFlight - load.limit + 1
        return if (ahead <= 0) Duration.ZERO else load.serviceTime * ahead / load.limit
    }

    /** Queues [request] for a slot, or grants or refuses it at once. */
    fun submit(request: PoolRequest) {
        when (val admission = queue.offer(request.item, now())) {
            is Admission.Granted -> grant(request, admission.ticket)
            is Admission.Queued -> queued[admission.ticket] = request
            is Admission.Refused -> request.refused(PoolRefusal.OVERLOADED)
        }
    }

    /** Removes [request] from the queue; returns false if it does not wait for a slot. */
    fun cancel(request: PoolRequest): Boolean {
        val ticket = queued.entries.firstOrNull { it.value === request }?.key ?: return false
        queued.remove(ticket)
        apply(queue.cancel(ticket, now()))
        return true
    }

    fun release(ticket: Ticket, usedSince: Duration, ran: Boolean, answered: Boolean) {
        val now = now()
        val held = now - usedSince
        apply(if (ran) queue.release(ticket, now, held, answered) else queue.abandon(ticket, now, held))
    }

    /** Changes the number of slots that this VM fills, of which [reserved] are used without a request. */
    fun adjust(slots: Int, reserved: Int) {
        apply(queue.changeSlots(slots, now()))
        apply(queue.reserve(reserved, now()))
    }

    /** Refuses requests that waited too long. */
    fun expire() = apply(queue.expire(now()))

    /** Refuses all queued requests, as the pool is closed. */
    fun close() = queued.values.toList().also { queued.clear() }.forEach { it.refused(PoolRefusal.CLOSED) }

    private fun apply(changes: QueueChanges) {
        changes.expired.forEach { queued.remove(it.ticket)?.refused?.invoke(PoolRefusal.OVERLOADED) }
        changes.granted.forEach { ticket -> queued.remove(ticket)?.let { grant(it, ticket) } }
    }

    private fun grant(request: PoolRequest, ticket: Ticket) = granted(request, PoolSlot(this, ticket, now()))
}
