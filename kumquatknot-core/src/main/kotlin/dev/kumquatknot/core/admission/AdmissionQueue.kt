package dev.kumquatknot.core.admission

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.TeamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Admits work to the slots of one member.
 *
 * With the default policy, urgent work is scheduled first, each kind gets at least its floor of the slot time, and
 * kinds of one rank share slot time fairly. The queue is bounded by time instead of length: an item that cannot meet
 * its deadline, given the measured service time and the work ahead, is refused when it is offered or as soon as that is
 * known. No slot below the concurrency limit is idle while an item waits.
 *
 * Not thread-safe. A [Ticket] may only be passed to the queue that issued it.
 *
 * @param slots number of statements that the member runs at the same time.
 */
public class AdmissionQueue(slots: Int, private val policy: AdmissionPolicy = AdmissionPolicy()) {
    private val flows = LinkedHashMap<FlowKey, Flow>()
    private val rankClock = FairQueueingClock<Rank> { Unit }
    private val teamClock = FairQueueingClock<Pair<Rank, TeamName>> { (rank, _) -> rank }
    private val kindClock = FairQueueingClock<Triple<Rank, TeamName, KindName>> { (rank, team, _) -> Pair(rank, team) }
    private val usage = Rank.entries.associateWith { UsageRate(policy.usageWindow) }
    private val teamUsage = HashMap<TeamName, UsageRate>()
    private val service = DurationAverage(policy.serviceTimeWeight, policy.initialServiceTime)
    private val wait = DurationAverage(policy.serviceTimeWeight, Duration.ZERO)
    private var limit = ConcurrencyLimit(slots)
    private var inFlight = 0
    private var reserved = 0
    private var queued = 0

    /** Grants [item] a slot, queues it, or refuses it without running it. */
    public fun offer(item: WorkItem, now: Duration): Admission {
        val flow = flowOf(item)
        val expected = flow.expectedService(item)
        if (hasFreeSlot && queued == 0) {
            if (now + expected > item.deadline) return refusal(RefusalReason.DEADLINE_UNREACHABLE, expected)
            return Admission.Granted(start(Ticket(item, flow, now, expected), now))
        }
        val expectedWait = expectedWait(flow, now)
        val expectedResponse = expectedWait + expected
        if (now + expectedResponse > item.deadline) {
            return refusal(RefusalReason.DEADLINE_UNREACHABLE, now + expectedResponse - item.deadline)
        }
        val targetShare = item.target * policy.standingQueueTargetShare
        if (flow.recordExpectedResponse(expectedResponse, targetShare, policy.standingQueueInterval, now)) {
            return refusal(RefusalReason.OVERLOADED, expectedResponse - targetShare)
        }
        return Admission.Queued(enqueue(Ticket(item, flow, now, expected), now), expectedWait)
    }

    /**
     * Releases the slot of a granted [ticket] after [serviceTime] and updates the concurrency limit; [answered] is
     * false if the member did not respond. Returns the waiting items that are granted a slot and those that are
     * refused.
     */
    public fun release(
        ticket: Ticket,
        now: Duration,
        serviceTime: Duration,
        answered: Boolean = true,
    ): QueueChanges {
        check(ticket.state == TicketState.RUNNING) { "$ticket does not hold a slot" }
        ticket.state = TicketState.ENDED
        val saturated = inFlight >= limit.current
        inFlight--
        chargeServiceTime(ticket, now, serviceTime)
        val slowdown = ticket.flow.recordServiceTime(serviceTime, ticket.item.cost) ?: limit.slowdown
        service.add(serviceTime)
        limit = policy.adjustLimit(limit, ServiceSample(slowdown, answered, saturated))
        return dispatch(now)
    }

    /** Releases the slot of a granted [ticket] that was [held] without running a statement at the member. */
    public fun abandon(ticket: Ticket, now: Duration, held: Duration): QueueChanges {
        check(ticket.state == TicketState.RUNNING) { "$ticket does not hold a slot" }
        ticket.state = TicketState.ENDED
        inFlight--
        chargeServiceTime(ticket, now, held)
        return dispatch(now)
    }

    /** Removes a waiting [ticket] from the queue; does nothing if the ticket is running or has ended. */
    public fun cancel(ticket: Ticket, now: Duration): QueueChanges {
        if (ticket.state != TicketState.WAITING) return QueueChanges.NONE
        ticket.state = TicketState.ENDED
        ticket.flow.accrueFloorTime(now, limit.slots)
        if (ticket.flow.remove(ticket)) queued--
        return dispatch(now)
    }

    /** Refuses all waiting items that can no longer meet their deadline. */
    public fun expire(now: Duration): QueueChanges {
        if (queued == 0) return QueueChanges.NONE
        return QueueChanges(emptyList(), flows.values.flatMap { expireAll(it, now) })
    }

    /**
     * Changes the number of slots to [slots], for example when the queue's share of the member's slots changes. The
     * adapted concurrency limit stays in proportion.
     */
    public fun changeSlots(slots: Int, now: Duration): QueueChanges {
        if (slots == limit.slots) return QueueChanges.NONE
        val exact = (limit.exact * slots / limit.slots).coerceIn(1.0, slots.toDouble())
        limit = ConcurrencyLimit(slots, exact, limit.slowdown)
        return dispatch(now)
    }

    /** Sets the number of slots within the limit that something else than admitted items uses to [slots]. */
    public fun reserve(slots: Int, now: Duration): QueueChanges {
        val isFreed = slots < reserved
        reserved = slots
        return if (isFreed) dispatch(now) else QueueChanges.NONE
    }

    /** Returns the current load of the member. */
    public fun load(): QueueLoad = QueueLoad(
        limit = limit.current,
        inFlight = inFlight,
        queued = if (queued == 0) NONE_QUEUED else queuedByRank(),
        serviceTime = service.value,
        wait = wait.value,
    )

    private val hasFreeSlot: Boolean get() = inFlight + reserved < limit.current

    private fun queuedByRank(): Map<Rank, Int> =
        Rank.entries.associateWith { rank -> flows.values.sumOf { if (it.rank == rank) it.queued else 0 } }

    private fun flowOf(item: WorkItem): Flow {
        val existing = flows[item.flow]
        if (existing != null && (existing.rank == item.rank || existing.queued > 0)) {
            existing.floor = item.floorPercent / PERCENT
            return existing
        }
        removeIdleFlows()
        return Flow(item.flow, item.rank, item.floorPercent, policy).also { flows[item.flow] = it }
    }

    private fun removeIdleFlows() {
        if (flows.size < IDLE_FLOW_CLEANUP_SIZE) return
        flows.values.removeIf { it.queued == 0 }
        rankClock.removeIdle { rank -> flows.values.any { it.rank == rank } }
        teamClock.removeIdle { (rank, team) -> flows.values.any { it.rank == rank && it.key.team == team } }
        kindClock.removeIdle { (_, team, kind) -> FlowKey(team, kind) in flows }
        teamUsage.keys.removeIf { team -> flows.values.none { it.key.team == team } }
    }

    private fun enqueue(ticket: Ticket, now: Duration): Ticket {
        val flow = ticket.flow
        flow.accrueFloorTime(now, limit.slots)
        if (flow.queued == 0) activate(flow)
        flow.enqueue(ticket)
        queued++
        return ticket
    }

    private fun activate(flow: Flow) {
        val team = flow.teamKey
        if (flows.values.none { it.rank == flow.rank && it.queued > 0 }) rankClock.activate(flow.rank)
        if (flows.values.none { it.teamKey == team && it.queued > 0 }) teamClock.activate(team)
        kindClock.activate(flow.kindKey)
    }

    private fun start(ticket: Ticket, now: Duration): Ticket {
        val flow = ticket.flow
        val seconds = ticket.expectedService.toDouble(DurationUnit.SECONDS)
        ticket.state = TicketState.RUNNING
        inFlight++
        wait.add(now - ticket.offeredAt)
        rankClock.dispatch(flow.rank, seconds / weight(flow.rank))
        teamClock.dispatch(flow.teamKey, seconds)
        kindClock.dispatch(flow.kindKey, seconds)
        flow.chargeSlotTime(ticket.expectedService)
        return ticket
    }

    private fun chargeServiceTime(ticket: Ticket, now: Duration, serviceTime: Duration) {
        val flow = ticket.flow
        val difference = serviceTime - ticket.expectedService
        val seconds = difference.toDouble(DurationUnit.SECONDS)
        flow.accrueFloorTime(now, limit.slots)
        flow.correct(difference)
        rankClock.correct(flow.rank, seconds / weight(flow.rank))
        teamClock.correct(flow.teamKey, seconds)
        kindClock.correct(flow.kindKey, seconds)
        usage.getValue(flow.rank).add(serviceTime, now)
        teamUsage.getOrPut(flow.key.team) { UsageRate(policy.usageWindow) }.add(serviceTime, now)
    }

    private fun dispatch(now: Duration): QueueChanges {
        if (queued == 0) return QueueChanges.NONE
        val granted = ArrayList<Ticket>()
        val expired = ArrayList<ExpiredTicket>()
        flows.values.forEach { expired += expireHeads(it, now) }
        while (hasFreeSlot && queued > 0) {
            granted += startNext(now)
            flows.values.forEach { expired += expireHeads(it, now) }
        }
        return QueueChanges(granted, expired)
    }

    private fun startNext(now: Duration): Ticket {
        val waiting = flows.values.filter { it.queued > 0 }.onEach { it.accrueFloorTime(now, limit.slots) }
        val flow = policy.selectFlow(waiting.map { waitingFlow(it, now) }).flow
        val ticket = flow.removeHead()
        queued--
        ticket.expectedService = flow.expectedService(ticket.item)
        return start(ticket, now)
    }

    private fun waitingFlow(flow: Flow, now: Duration) = WaitingFlow(
        flow = flow,
        rankTag = rankClock.tag(flow.rank),
        teamTag = teamClock.tag(flow.teamKey),
        kindTag = kindClock.tag(flow.kindKey),
        teamShare = (teamUsage[flow.key.team]?.slots(now) ?: 0.0) / limit.current,
    )

    private fun expireHeads(flow: Flow, now: Duration): List<ExpiredTicket> {
        val expired = ArrayList<ExpiredTicket>()
        while (true) {
            val head = flow.peekHead()?.takeIf { cannotFinish(it, now) } ?: return expired
            flow.remove(head)
            expired += expireTicket(head, now)
        }
    }

    private fun expireAll(flow: Flow, now: Duration): List<ExpiredTicket> =
        flow.removeWhere { cannotFinish(it, now) }.map { expireTicket(it, now) }

    private fun cannotFinish(ticket: Ticket, now: Duration): Boolean =
        now + ticket.flow.expectedService(ticket.item) > ticket.item.deadline

    private fun expireTicket(ticket: Ticket, now: Duration): ExpiredTicket {
        ticket.state = TicketState.ENDED
        queued--
        return ExpiredTicket(ticket, refusal(RefusalReason.DEADLINE_PASSED, expectedWait(ticket.flow, now)))
    }

    /**
     * Time until an item that joins [flow] now gets a slot: the work queued in the flow divided by its share of slots.
     */
    private fun expectedWait(flow: Flow, now: Duration): Duration {
        val nextFreeSlot = service.value / limit.current
        return nextFreeSlot + flow.workAhead / (limit.current * shareOf(flow, now))
    }

    private fun shareOf(flow: Flow, now: Duration): Double {
        val slots = limit.current
        val moreUrgent = usage.entries.sumOf { (rank, rate) -> if (rank < flow.rank) rate.slots(now) / slots else 0.0 }
        val lowerRankFloors = flows.values.sumOf { if (it.rank > flow.rank && it.queued > 0) it.floor else 0.0 }
        val peers = flows.values.filter { it !== flow && it.rank == flow.rank && it.queued > 0 }
        val teams = 1 + peers.map { it.key.team }.filter { it != flow.key.team }.distinct().size
        val kinds = 1 + peers.count { it.key.team == flow.key.team }
        val fairShare = (1.0 - moreUrgent - lowerRankFloors) / (teams * kinds)
        return maxOf(flow.floor, fairShare, MINIMUM_SHARE).coerceAtMost(1.0)
    }

    private fun refusal(reason: RefusalReason, excess: Duration): Admission.Refused {
        val spread = excess.coerceAtLeast(MINIMUM_RETRY_AFTER) * (1.0 + policy.random())
        return Admission.Refused(reason, spread.coerceAtMost(MAXIMUM_RETRY_AFTER))
    }

    private fun weight(rank: Rank): Double = policy.rankWeights[rank] ?: 1.0

    private val Flow.teamKey get() = Pair(rank, key.team)

    private val Flow.kindKey get() = Triple(rank, key.team, key.kind)

    private companion object {
        const val PERCENT = 100.0
        val NONE_QUEUED: Map<Rank, Int> = Rank.entries.associateWith { 0 }
        const val MINIMUM_SHARE = 0.01
        const val IDLE_FLOW_CLEANUP_SIZE = 256
        val MINIMUM_RETRY_AFTER = 50.milliseconds
        val MAXIMUM_RETRY_AFTER = 10.seconds
    }
}
