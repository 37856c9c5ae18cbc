package dev.kumquatknot.core.admission

import dev.kumquatknot.core.configuration.Rank
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** The waiting work of one kind of one team at one member, with what it has received. */
public class Flow internal constructor(
    public val key: FlowKey,
    public val rank: Rank,
    floorPercent: Int,
    policy: AdmissionPolicy,
) {
    private val waiting = ArrayDeque<Ticket>()
    private val service = DurationAverage(policy.serviceTimeWeight, policy.initialServiceTime)
    private val baseline = DurationAverage(policy.baselineWeight, policy.initialServiceTime)
    private var owedAt = Duration.ZERO
    private var exceededSince = -Duration.INFINITE
    private var lastExceededAt = -Duration.INFINITE

    internal var floor: Double = floorPercent / PERCENT
    internal var workAhead: Duration = Duration.ZERO
        private set

    /** Slot seconds that the floor of this flow grants it and that it has not received while it waited. */
    public var owedSeconds: Double = 0.0
        private set

    /** Whether its floor owes the flow the slot time of at least one item. */
    public val belowFloor: Boolean
        get() = floor > 0.0 && owedSeconds >= service.value.toDouble(DurationUnit.SECONDS)

    /** Deadline of the item that waits at the head; null where none waits. */
    public val headDeadline: Duration? get() = waiting.firstOrNull()?.item?.deadline

    /** Number of waiting items. */
    public val queued: Int get() = waiting.size

    internal val expectedService: Duration get() = service.value

    internal fun expectedService(item: WorkItem): Duration = service.value * item.cost

    internal fun enqueue(ticket: Ticket) {
        waiting.addLast(ticket)
        workAhead += ticket.expectedService
    }

    internal fun takeHead(): Ticket = waiting.removeFirst().also { forget(it) }

    internal fun remove(ticket: Ticket): Boolean = waiting.remove(ticket).also { if (it) forget(ticket) }

    internal fun peekHead(): Ticket? = waiting.firstOrNull()

    internal fun removeWhere(predicate: (Ticket) -> Boolean): List<Ticket> {
        val removed = waiting.filter(predicate)
        removed.forEach { remove(it) }
        return removed
    }

    /** Adds what the floor grants for the time up to [now] out of [slots] slots. */
    internal fun accrue(now: Duration, slots: Int) {
        if (waiting.isNotEmpty() && now > owedAt) {
            owedSeconds += floor * slots * (now - owedAt).toDouble(DurationUnit.SECONDS)
        }
        owedAt = now
    }

    internal fun receive(slotTime: Duration) {
        val least = -service.value.toDouble(DurationUnit.SECONDS)
        owedSeconds = maxOf(owedSeconds - slotTime.toDouble(DurationUnit.SECONDS), least)
        if (waiting.isEmpty()) owedSeconds = minOf(owedSeconds, 0.0)
    }

    internal fun correct(difference: Duration) {
        owedSeconds -= difference.toDouble(DurationUnit.SECONDS)
        if (waiting.isEmpty()) owedSeconds = minOf(owedSeconds, 0.0)
    }

    /** Adds a measured service time and returns it relative to the long-term average; null for the first. */
    internal fun measure(serviceTime: Duration, cost: Double): Double? {
        val perUnit = serviceTime / maxOf(cost, LEAST_COST)
        val usual = baseline.takeIf { it.measured }?.value
        service.add(perUnit)
        baseline.add(perUnit)
        return usual?.takeIf { it > Duration.ZERO }?.let { perUnit / it }
    }

    /**
     * Notes an answer expected after [answer], and tells whether [target] has been exceeded again and again for at
     * least [interval]. A time of that length in which no offer exceeds it ends this.
     */
    internal fun standing(answer: Duration, target: Duration, interval: Duration, now: Duration): Boolean {
        if (answer <= target) return false
        if (now - lastExceededAt > interval) exceededSince = now
        lastExceededAt = now
        return now - exceededSince >= interval
    }

    private fun forget(ticket: Ticket) {
        workAhead = if (waiting.isEmpty()) Duration.ZERO else maxOf(Duration.ZERO, workAhead - ticket.expectedService)
        if (waiting.isEmpty()) owedSeconds = minOf(owedSeconds, 0.0)
    }

    private companion object {
        const val PERCENT = 100.0
        const val LEAST_COST = 0.01
    }
}
