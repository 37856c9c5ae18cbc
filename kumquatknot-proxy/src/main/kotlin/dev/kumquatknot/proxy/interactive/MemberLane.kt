package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.admission.Admission
import dev.kumquatknot.core.admission.AdmissionPolicy
import dev.kumquatknot.core.admission.AdmissionQueue
import dev.kumquatknot.core.admission.QueueChanges
import dev.kumquatknot.core.admission.Ticket
import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import dev.kumquatknot.core.interactive.RejectionCode
import kotlin.math.roundToInt
import kotlin.time.Duration

/** Why a lane did not take work, or no longer. The work did not run. */
internal enum class LaneRefusal {
    OVERLOADED,
    NO_CONNECTION,
    CLOSED,
}

/** What a lane calls for the work that it was given; one of them, once. */
internal class LaneWork(
    val item: WorkItem,
    val granted: (PooledLink, LaneSlot) -> Unit,
    val refused: (LaneRefusal) -> Unit,
)

/** A slot of a lane; given back once, with [end]. */
internal class LaneSlot(private val lane: MemberLane, private val ticket: Ticket, private var usedSince: Duration) {
    private var ended = false

    /** Notes that there is a connection from [now] on; the wait for it says nothing of the member's service time. */
    fun connected(now: Duration) {
        usedSince = now
    }

    /** Gives the slot back; [ran] tells whether a statement ran, [answered] whether the member answered it. */
    fun end(ran: Boolean, answered: Boolean) {
        if (ended) return
        ended = true
        lane.giveBack(ticket, usedSince, ran, answered)
    }
}

/**
 * This VM's way to one member: the queue for its slots, and the connections to it.
 *
 * Several VMs use a member side by side, each with as many statements at a time as the member has slots, so that the
 * member's own short queue evens out what they have to do; the limit falls when the member becomes slow.
 */
internal class MemberLane(
    member: DiscoveredMember,
    private val environment: NodeEnvironment,
    private val capacity: () -> Int,
    private val onReply: (MemberLane, MemberCommand, Duration, MemberReply) -> Unit,
) : LinkOwner {
    private val queue = AdmissionQueue(slotsOf(member), AdmissionPolicy())
    private val waiting = HashMap<Ticket, LaneWork>()
    private val links = ArrayList<PooledLink>()
    private val idle = ArrayDeque<PooledLink>()
    private val seekers = ArrayDeque<Seeker>()
    private var opening = 0
    private var connectionsElsewhere: Int? = null
    private var openAfter = Duration.ZERO
    private var closed = false

    /** The member as discovery describes it now. */
    var member: DiscoveredMember = member
        private set

    /** Since when the member has been leaving; null where it is not. */
    var leavingSince: Duration? = if (member.leaving) environment.now() else null
        private set

    /** When discovery lost the member; null where it has it. */
    var missingSince: Duration? = null

    /** What is known of the member's health. */
    val health = MemberHealth()

    /** Shortest time that an opening took, as a measure of the distance. */
    var distance: Duration = Duration.ZERO
        private set

    /** Since when the oldest opening has been waiting for the member; null where none is. */
    val openingSince: Duration? get() = links.filter { it.openingTime == null }.minOfOrNull { it.startedAt }

    /** Time that the member takes for a statement, as measured. */
    val serviceTime: Duration get() = queue.load().serviceTime

    /** Time that one more item would wait. */
    fun expectedWait(): Duration {
        val load = queue.load()
        val ahead = load.queued.values.sum() + load.inFlight - load.limit + 1
        return if (ahead <= 0) Duration.ZERO else load.serviceTime * ahead / load.limit
    }

    fun describe(next: DiscoveredMember) {
        if (next.leaving && !member.leaving) leavingSince = environment.now()
        if (!next.leaving) leavingSince = null
        member = next
        missingSince = null
    }

    /** Offers [work] to the lane. */
    fun submit(work: LaneWork) {
        if (closed) return work.refused(LaneRefusal.CLOSED)
        when (val admission = queue.offer(work.item, environment.now())) {
            is Admission.Granted -> connect(work, admission.ticket)
            is Admission.Queued -> waiting[admission.ticket] = work
            is Admission.Refused -> work.refused(LaneRefusal.OVERLOADED)
        }
    }

    fun giveBack(ticket: Ticket, usedSince: Duration, ran: Boolean, answered: Boolean) {
        val now = environment.now()
        val held = now - usedSince
        apply(if (ran) queue.release(ticket, now, held, answered) else queue.abandon(ticket, now, held))
    }

    /** Returns a connection that is clean, to be used again. */
    fun putBack(link: PooledLink) {
        if (link.isClosed) return
        if (closed) return link.close()
        val seeker = nextSeeker()
        if (seeker != null) {
            seeker.take(link)
        } else {
            idle.addLast(link)
        }
    }

    /** Takes an idle connection for control, or opens one beyond the share; [done] gets null where none comes. */
    fun borrow(done: (PooledLink?) -> Unit) {
        val link = takeIdle()
        if (link != null) return done(link)
        seekers.addFirst(Seeker(done).also { startTimer(it, environment.limits.report) })
        openMore()
    }

    /** Ends what waits too long, and closes connections that nobody uses. */
    fun maintain() {
        val now = environment.now()
        apply(queue.expire(now))
        val surplus = idle.size - environment.limits.idleConnections
        if (surplus > 0) {
            idle.filter { now - it.idleSince > environment.limits.idleClose }.take(surplus).forEach { it.close() }
        }
        val isUnconnected = links.isEmpty() && opening == 0
        if (isUnconnected && !closed && leavingSince == null) openMore()
    }

    /** Notes how many connections the member counts in all. */
    fun counted(connections: Int) {
        connectionsElsewhere = (connections - links.size).coerceAtLeast(0)
    }

    /** Refuses what waits and closes all connections. */
    fun close() {
        if (closed) return
        closed = true
        val refused = waiting.values.toList()
        waiting.clear()
        refused.forEach { it.refused(LaneRefusal.CLOSED) }
        seekers.toList().also { seekers.clear() }.forEach { it.take(null) }
        links.toList().filter { !it.isBusy }.forEach { it.close() }
    }

    override fun usable(link: PooledLink) {
        opening--
        link.openingTime?.let { if (distance == Duration.ZERO || it < distance) distance = it }
        health.answered(environment.now())
        if (connectionsElsewhere == null) askForCount(link) else putBack(link)
        if (seekers.isNotEmpty()) openMore()
    }

    override fun replied(link: PooledLink, command: MemberCommand, sentAt: Duration, reply: MemberReply) {
        health.answered(environment.now())
        reply.point?.let { health.reached(it, environment.now()) }
        onReply(this, command, sentAt, reply)
    }

    override fun ended(link: PooledLink, end: LinkEnd, opened: Boolean) {
        links.remove(link)
        idle.remove(link)
        if (!opened) opening--
        val now = environment.now()
        val full = end is LinkEnd.Rejected && end.code == RejectionCode.TOO_MANY_CONNECTIONS
        if (full) {
            openAfter = now + FULL_PAUSE
        } else if (!opened) {
            health.failed(now, refused = end is LinkEnd.Refused)
            openAfter = now + FAILED_PAUSE
        }
        if (!opened && opening == 0) seekers.toList().also { seekers.clear() }.forEach { it.take(null) }
    }

    /** Asks the member how many connections it counts before anything else may keep [link] for long. */
    private fun askForCount(link: PooledLink) {
        link.run(listOf(MemberCommand.Report), environment.limits.report) { result ->
            if (result !is BatchResult.Answered) return@run
            putBack(link)
            if (seekers.isNotEmpty()) openMore()
        }
    }

    private fun slotsOf(member: DiscoveredMember): Int =
        (member.slots * environment.limits.slotShare).roundToInt().coerceAtLeast(1)

    private fun connect(work: LaneWork, ticket: Ticket) {
        val slot = LaneSlot(this, ticket, environment.now())
        val link = takeIdle()
        if (link != null) return work.granted(link, slot)
        val seeker = Seeker { found ->
            if (found != null) {
                slot.connected(environment.now())
                work.granted(found, slot)
            } else {
                slot.end(ran = false, answered = true)
                work.refused(LaneRefusal.NO_CONNECTION)
            }
        }
        seekers.addLast(seeker)
        startTimer(seeker, environment.limits.connectionWait)
        openMore()
    }

    private fun takeIdle(): PooledLink? {
        while (true) {
            val link = idle.removeLastOrNull() ?: return null
            if (!link.isClosed) return link
        }
    }

    private fun nextSeeker(): Seeker? {
        while (true) {
            val seeker = seekers.removeFirstOrNull() ?: return null
            if (!seeker.ended) return seeker
        }
    }

    private fun startTimer(seeker: Seeker, after: Duration) {
        seeker.timer = environment.schedule(after) {
            seekers.remove(seeker)
            seeker.take(null)
        }
    }

    private fun openMore() {
        val wanted = seekers.size.coerceIn(1, environment.limits.openingsAtOnce)
        while (!closed && opening < wanted && mayOpen()) {
            opening++
            val link = PooledLink(member, environment, this)
            links += link
            link.open(environment.openLink, environment.limits.opening)
        }
    }

    private fun mayOpen(): Boolean {
        val most = capacity()
        val share = (most * environment.limits.connectionShare).toInt().coerceAtLeast(1)
        // Until the member has told, others may hold all but the one that each VM may have.
        val elsewhere = connectionsElsewhere ?: most
        val free = most - environment.limits.connectionReserve - elsewhere - links.size
        return links.size < share && (links.isEmpty() || free > 0) && environment.now() >= openAfter
    }

    private fun apply(changes: QueueChanges) {
        changes.expired.forEach { waiting.remove(it.ticket)?.refused?.invoke(LaneRefusal.OVERLOADED) }
        changes.granted.forEach { ticket -> waiting.remove(ticket)?.let { connect(it, ticket) } }
    }

    private class Seeker(private val done: (PooledLink?) -> Unit) {
        var timer: Cancel? = null
        var ended = false

        fun take(link: PooledLink?) {
            if (ended) return
            ended = true
            timer?.invoke()
            done(link)
        }
    }

    private companion object {
        /** Pause after the member counted too many connections; others need some time to close theirs. */
        val FULL_PAUSE = MemberHealth.PAUSE * 2

        /** Pause after a failed opening, so that a member that is down gets a few attempts a second. */
        val FAILED_PAUSE = MemberHealth.PAUSE
    }
}
