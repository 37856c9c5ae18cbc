package dev.kumquatknot.core.admission

import dev.kumquatknot.core.configuration.Rank
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Queue of one kind of one team at one member, with its service times and the slot time that its floor is owed. */
public class Flow internal constructor(
    public val key: FlowKey,
    public val rank: Rank,
    floorPercent: Int,
    policy: AdmissionPolicy,
) {
    private val waiting = ArrayDeque<Ticket>()
    private val service = DurationAverage(policy.serviceTimeWeight, policy.initialServiceTime)
    private val baseline = DurationAverage(policy.baselineWeight, policy.initialServiceTime)
    private var deficitUpdatedAt = Duration.ZERO
    private var exceededSince = -Duration.INFINITE
    private var lastExceededAt = -Duration.INFINITE

    internal var floor: Double = floorPercent / PERCENT
    internal var workAhead: Duration = Duration.ZERO
        private set

    /** Slot time in seconds that the floor has granted this flow while items waited and that it has not used yet. */
    public var floorDeficitSeconds: Double = 0.0
        private set

    /** Whether the deficit covers the slot time of at least one item. */
    public val belowFloor: Boolean
        get() = floor > 0.0 && floorDeficitSeconds >= service.value.toDouble(DurationUnit.SECONDS)

    /** Deadline of the first waiting item; null if none waits. */
    public val headDeadline: Duration? get() = waiting.firstOrNull()?.item?.deadline

    /** Number of waiting items. */
    public val queued: Int get() = waiting.size

    internal val expectedService: Duration get() = service.value

    internal fun expectedService(item: WorkItem): Duration = service.value * item.cost

    internal fun enqueue(ticket: Ticket) {
        waiting.addLast(ticket)
        workAhead += ticket.expectedService
    }

    internal fun removeHead(): Ticket = waiting.removeFirst().also { removeWork(it) }

    internal fun remove(ticket: Ticket): Boolean = waiting.remove(ticket).also { if (it) removeWork(ticket) }

    internal fun peekHead(): Ticket? = waiting.firstOrNull()

    internal fun removeWhere(predicate: (Ticket) -> Boolean): List<Ticket> {
        val removed = waiting.filter(predicate)
        removed.forEach { remove(it) }
        return removed
    }

    /** Adds the slot time that the floor grants up to [now], as a share of [slots] slots. */
    internal fun accrueFloorTime(now: Duration, slots: Int) {
        if (waiting.isNotEmpty() && now > deficitUpdatedAt) {
            floorDeficitSeconds += floor * slots * (now - deficitUpdatedAt).toDouble(DurationUnit.SECONDS)
        }
        deficitUpdatedAt = now
    }

    internal fun chargeSlotTime(slotTime: Duration) {
        val least = -service.value.toDouble(DurationUnit.SECONDS)
        floorDeficitSeconds = maxOf(floorDeficitSeconds - slotTime.toDouble(DurationUnit.SECONDS), least)
        if (waiting.isEmpty()) floorDeficitSeconds = minOf(floorDeficitSeconds, 0.0)
    }

    internal fun correct(difference: Duration) {
        floorDeficitSeconds -= difference.toDouble(DurationUnit.SECONDS)
        if (waiting.isEmpty()) floorDeficitSeconds = minOf(floorDeficitSeconds, 0.0)
    }

    /** Adds a sample and returns it relative to the long-term average before it; null without such an average. */
    internal fun recordServiceTime(serviceTime: Duration, cost: Double): Double? {
        val perUnit = serviceTime / maxOf(cost, MINIMUM_COST)
        val longTermAverage = baseline.takeIf { it.hasSamples }?.value
        service.add(perUnit)
        baseline.add(perUnit)
        return longTermAverage?.takeIf { it > Duration.ZERO }?.let { perUnit / it }
    }

    /**
     * Records the expected [responseTime] of an offered item and returns whether this is a standing queue:
     * offers have kept exceeding [target] for at least [interval]. A pause longer than [interval] between two such
     * offers resets this.
     */
    internal fun recordExpectedResponse(
        responseTime: Duration,
        target: Duration,
        interval: Duration,
        now: Duration,
    ): Boolean {
        if (responseTime <= target) return false
        if (now - lastExceededAt > interval) exceededSince = now
        lastExceededAt = now
        return now - exceededSince >= interval
    }

    private fun removeWork(ticket: Ticket) {
        workAhead = if (waiting.isEmpty()) Duration.ZERO else maxOf(Duration.ZERO, workAhead - ticket.expectedService)
        if (waiting.isEmpty()) floorDeficitSeconds = minOf(floorDeficitSeconds, 0.0)
    }

    private companion object {
        const val PERCENT = 100.0
        const val MINIMUM_COST = 0.01
    }
}
