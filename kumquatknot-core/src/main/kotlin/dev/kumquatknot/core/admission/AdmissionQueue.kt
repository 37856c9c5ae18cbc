package dev.kumquatknot.core.admission

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.TeamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Admission of work to the slots of one member.
 *
 * Urgent work goes first, each kind keeps its floor, and kinds of one rank share slot time fairly. The queue is bounded
 * by time: an item that cannot meet its deadline, given the measured service time and the work ahead, is refused when
 * it is offered or as soon as that shows. No slot idles while an item waits.
 *
 * Not safe for use by several threads at once. [Ticket]s belong to the queue that gave them.
 *
 * @param slots statements that the member runs at the same time.
 */
public class AdmissionQueue(slots: Int, private val policy: AdmissionPolicy = AdmissionPolicy()) {
    private val flows = LinkedHashMap<FlowKey, Flow>()
    private val rankClock = FairClock<Rank>()
    private val teamClock = FairClock<Pair<Rank, TeamName>>()
    private val kindClock = FairClock<Triple<Rank, TeamName, KindName>>()
    private val usage = Rank.entries.associateWith { UsageRate(policy.usageWindow) }
    private val service = DurationAverage(policy.serviceTimeWeight, policy.initialServiceTime)
    private val wait = DurationAverage(policy.serviceTimeWeight, Duration.ZERO)
    private var limit = ConcurrencyLimit(slots)
    private var inFlight = 0
    private var queued = 0

    /** Offers [item]: it runs now, waits, or is refused without running. */
    public fun offer(item: WorkItem, now: Duration): Admission {
        val flow = flowOf(item)
        val expected = flow.expectedService(item)
        if (inFlight < limit.current && queued == 0) {
            if (now + expected > item.deadline) return refusal(RefusalReason.DEADLINE_UNREACHABLE, expected)
            return Admission.Granted(start(Ticket(item, flow, now, expected), now))
        }
        val expectedWait = expectedWait(flow, now)
        val answer = expectedWait + expected
        if (now + answer > item.deadline) {
            return refusal(RefusalReason.DEADLINE_UNREACHABLE, now + answer - item.deadline)
        }
        val bound = item.target * policy.standingShare
        if (flow.standing(answer, bound, policy.standingInterval, now)) {
            return refusal(RefusalReason.OVERLOADED, answer - bound)
        }
        return Admission.Queued(enqueue(Ticket(item, flow, now, expected), now), expectedWait)
    }

    /**
     * Gives the slot of a granted [ticket] back after [serviceTime]; [answered] is false where the member stayed
     * silent. Returns the items that run now and those that are refused.
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
        settle(ticket, now, serviceTime)
        val slowdown = ticket.flow.measure(serviceTime, ticket.item.cost) ?: limit.slowdown
        service.add(serviceTime)
        limit = policy.adjustLimit(limit, ServiceSample(slowdown, answered, saturated))
        return dispatch(now)
    }

    /** Gives the slot of a granted [ticket] back after [held] without a statement having run at the member. */
    public fun abandon(ticket: Ticket, now: Duration, held: Duration): QueueChanges {
        check(ticket.state == TicketState.RUNNING) { "$ticket does not hold a slot" }
        ticket.state = TicketState.ENDED
        inFlight--
        settle(ticket, now, held)
        return dispatch(now)
    }

    /** Takes a waiting [ticket] out of the queue; a ticket that runs or has ended stays as it is. */
    public fun cancel(ticket: Ticket, now: Duration): QueueChanges {
        if (ticket.state != TicketState.WAITING) return QueueChanges.NONE
        ticket.state = TicketState.ENDED
        ticket.flow.accrue(now, limit.slots)
        if (ticket.flow.remove(ticket)) queued--
        return dispatch(now)
    }

    /** Refuses the waiting items that can no longer meet their deadline. */
    public fun expire(now: Duration): QueueChanges {
        if (queued == 0) return QueueChanges.NONE
        return QueueChanges(emptyList(), flows.values.flatMap { expireAll(it, now) })
    }

    /** Returns the member's load. */
    public fun load(): QueueLoad = QueueLoad(
        limit = limit.current,
        inFlight = inFlight,
        queued = Rank.entries.associateWith { rank -> flows.values.sumOf { if (it.rank == rank) it.queued else 0 } },
        serviceTime = service.value,
        wait = wait.value,
    )

    private fun flowOf(item: WorkItem): Flow {
        val known = flows[item.flow]
        if (known != null && (known.rank == item.rank || known.queued > 0)) {
            known.floor = item.floorPercent / PERCENT
            return known
        }
        forgetIdleFlows()
        return Flow(item.flow, item.rank, item.floorPercent, policy).also { flows[item.flow] = it }
    }

    private fun forgetIdleFlows() {
        if (flows.size < FLOWS_KEPT) return
        flows.values.removeIf { it.queued == 0 }
        rankClock.forgetIdle { rank -> flows.values.any { it.rank == rank } }
        teamClock.forgetIdle { (rank, team) -> flows.values.any { it.rank == rank && it.key.team == team } }
        kindClock.forgetIdle { (_, team, kind) -> FlowKey(team, kind) in flows }
    }

    private fun enqueue(ticket: Ticket, now: Duration): Ticket {
        val flow = ticket.flow
        flow.accrue(now, limit.slots)
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
        flow.receive(ticket.expectedService)
        return ticket
    }

    private fun settle(ticket: Ticket, now: Duration, serviceTime: Duration) {
        val flow = ticket.flow
        val difference = serviceTime - ticket.expectedService
        val seconds = difference.toDouble(DurationUnit.SECONDS)
        flow.accrue(now, limit.slots)
        flow.correct(difference)
        rankClock.correct(flow.rank, seconds / weight(flow.rank))
        teamClock.correct(flow.teamKey, seconds)
        kindClock.correct(flow.kindKey, seconds)
        usage.getValue(flow.rank).add(serviceTime, now)
    }

    private fun dispatch(now: Duration): QueueChanges {
        if (queued == 0) return QueueChanges.NONE
        val granted = ArrayList<Ticket>()
        val expired = ArrayList<ExpiredTicket>()
        flows.values.forEach { expired += expireHeads(it, now) }
        while (inFlight < limit.current && queued > 0) {
            granted += startNext(now)
            flows.values.forEach { expired += expireHeads(it, now) }
        }
        return QueueChanges(granted, expired)
    }

    private fun startNext(now: Duration): Ticket {
        val waiting = flows.values.filter { it.queued > 0 }.onEach { it.accrue(now, limit.slots) }
        val flow = policy.selectFlow(waiting.map { it.waitingFlow() }).flow
        val ticket = flow.takeHead()
        queued--
        ticket.expectedService = flow.expectedService(ticket.item)
        return start(ticket, now)
    }

    private fun Flow.waitingFlow() =
        WaitingFlow(this, rankClock.tag(rank), teamClock.tag(teamKey), kindClock.tag(kindKey))

    private fun expireHeads(flow: Flow, now: Duration): List<ExpiredTicket> {
        val expired = ArrayList<ExpiredTicket>()
        while (true) {
            val head = flow.peekHead()?.takeIf { cannotFinish(it, now) } ?: return expired
            flow.remove(head)
            expired += ended(head, now)
        }
    }

    private fun expireAll(flow: Flow, now: Duration): List<ExpiredTicket> =
        flow.removeWhere { cannotFinish(it, now) }.map { ended(it, now) }

    private fun cannotFinish(ticket: Ticket, now: Duration): Boolean =
        now + ticket.flow.expectedService(ticket.item) > ticket.item.deadline

    private fun ended(ticket: Ticket, now: Duration): ExpiredTicket {
        ticket.state = TicketState.ENDED
        queued--
        return ExpiredTicket(ticket, refusal(RefusalReason.DEADLINE_PASSED, expectedWait(ticket.flow, now)))
    }

    /** Time until an item that joins [flow] now gets a slot: the work ahead in its flow over the flow's share. */
    private fun expectedWait(flow: Flow, now: Duration): Duration {
        val nextFreeSlot = service.value / limit.current
        return nextFreeSlot + flow.workAhead / (limit.current * shareOf(flow, now))
    }

    private fun shareOf(flow: Flow, now: Duration): Double {
        val slots = limit.current
        val moreUrgent = usage.entries.sumOf { (rank, rate) -> if (rank < flow.rank) rate.slots(now) / slots else 0.0 }
        val floorsBelow = flows.values.sumOf { if (it.rank > flow.rank && it.queued > 0) it.floor else 0.0 }
        val peers = flows.values.filter { it !== flow && it.rank == flow.rank && it.queued > 0 }
        val teams = 1 + peers.map { it.key.team }.filter { it != flow.key.team }.distinct().size
        val kinds = 1 + peers.count { it.key.team == flow.key.team }
        val fair = (1.0 - moreUrgent - floorsBelow) / (teams * kinds)
        return maxOf(flow.floor, fair, LEAST_SHARE).coerceAtMost(1.0)
    }

    private fun refusal(reason: RefusalReason, excess: Duration): Admission.Refused {
        val spread = excess.coerceAtLeast(LEAST_RETRY_AFTER) * (1.0 + policy.random())
        return Admission.Refused(reason, spread.coerceAtMost(GREATEST_RETRY_AFTER))
    }

    private fun weight(rank: Rank): Double = policy.rankWeights[rank] ?: 1.0

    private val Flow.teamKey get() = Pair(rank, key.team)

    private val Flow.kindKey get() = Triple(rank, key.team, key.kind)

    private companion object {
        const val PERCENT = 100.0
        const val LEAST_SHARE = 0.01
        const val FLOWS_KEPT = 256
        val LEAST_RETRY_AFTER = 50.milliseconds
        val GREATEST_RETRY_AFTER = 10.seconds
    }
}
