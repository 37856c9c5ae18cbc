package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.admission.Admission
import dev.kumquatknot.core.admission.AdmissionPolicy
import dev.kumquatknot.core.admission.AdmissionQueue
import dev.kumquatknot.core.admission.QueueChanges
import dev.kumquatknot.core.admission.Ticket
import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import dev.kumquatknot.core.interactive.RejectionCode
import kotlin.math.roundToInt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Why a pool refused a request. The work did not run. */
internal enum class PoolRefusal {
    OVERLOADED,
    NO_CONNECTION,
    CLOSED,
}

/**
 * A request for a slot and a connection for the statements of [customer]. The pool calls either [granted] or [refused],
 * exactly once.
 */
internal class PoolRequest(
    val item: WorkItem,
    val customer: CustomerName?,
    val granted: (PooledLink, PoolSlot) -> Unit,
    val refused: (PoolRefusal) -> Unit,
)

/** An occupied slot of a pool. Only the first call of [release] has an effect. */
internal class PoolSlot(private val pool: MemberPool, private val ticket: Ticket, private var usedSince: Duration) {
    private var ended = false

    /** Restarts the measurement of the service time at [now], so that it excludes the wait for a connection. */
    fun connected(now: Duration) {
        usedSince = now
    }

    /** Releases the slot; [ran] is whether a statement ran, [answered] whether the member answered it. */
    fun release(ran: Boolean, answered: Boolean) {
        if (ended) return
        ended = true
        pool.releaseSlot(ticket, usedSince, ran, answered)
    }
}

/**
 * This VM's connection pool for one member, with the admission queue for the member's slots.
 *
 * Several VMs use a member concurrently. Each admits as many statements as its share of the member's slots allows; the
 * member's own short queue balances the load of the VMs. The limit falls when the member becomes slow.
 */
internal class MemberPool(
    member: DiscoveredMember,
    private val environment: NodeEnvironment,
    private val budget: () -> ConnectionBudget,
    private val onReply: (MemberPool, MemberCommand, Duration, MemberReply) -> Unit,
) : LinkListener {
    private val queue = AdmissionQueue(slotsOf(member), AdmissionPolicy())
    private val queuedRequests = HashMap<Ticket, PoolRequest>()
    private val links = ArrayList<PooledLink>()
    private val idle = ArrayDeque<PooledLink>()
    private val linkWaiters = ArrayDeque<LinkWaiter>()
    private var opening = 0
    private var connectionsOfOthers: Int? = null
    private val countRefresh = CountRefresh()
    private val useInterval = UseInterval()
    private var nextOpeningAt = Duration.ZERO
    private var fullSince: Duration? = null
    private var refusedOpenings = 0
    private var closed = false

    /** The latest description of the member from discovery. */
    var member: DiscoveredMember = member
        private set

    /** Time at which the member started to leave; null if it is not leaving. */
    var leavingSince: Duration? = if (member.leaving) environment.now() else null
        private set

    /** Time at which discovery stopped listing the member; null while it is listed. */
    var missingSince: Duration? = null

    /** Health of the member as observed by this VM. */
    val health = MemberHealth()

    /** Shortest time in which a connection was opened, an estimate of the network distance. */
    var distance: Duration = Duration.ZERO
        private set

    /** Start time of the oldest opening that the member has not answered; null if there is none. */
    val openingSince: Duration? get() = links.filter { it.openingTime == null }.minOfOrNull { it.startedAt }

    /**
     * Whether the member has no connections to spare: then a VM keeps one only while it needs it, so that all VMs can
     * use the member by turns.
     */
    val isScarce: Boolean get() = budget().isShort || wasFullRecently

    private val wasFullRecently: Boolean
        get() = fullSince?.let { environment.now() - it < SCARCITY_PERIOD } ?: false

    /** Whether a poll is worth a connection: of a scarce member, only one that this VM has anyway. */
    val mayPoll: Boolean get() = !isScarce || idle.isNotEmpty()

    /** Whether this VM has an open connection to the member, idle or in use. */
    val isConnected: Boolean get() = links.any { it.openingTime != null }

    /** Observed time that the member takes for a statement. */
    val serviceTime: Duration get() = queue.load().serviceTime

    /** Estimated time that a new request would wait for a slot. */
    fun expectedWait(): Duration {
        val load = queue.load()
        val ahead = load.queued.values.sum() + load.inFlight - load.limit + 1
        return if (ahead <= 0) Duration.ZERO else load.serviceTime * ahead / load.limit
    }

    fun updateMember(next: DiscoveredMember) {
        if (next.leaving && !member.leaving) leavingSince = environment.now()
        if (!next.leaving) leavingSince = null
        member = next
        missingSince = null
    }

    /** Queues [request] for a slot, or grants or refuses it at once. */
    fun submit(request: PoolRequest) {
        if (closed) return request.refused(PoolRefusal.CLOSED)
        when (val admission = queue.offer(request.item, environment.now())) {
            is Admission.Granted -> connect(request, admission.ticket)
            is Admission.Queued -> queuedRequests[admission.ticket] = request
            is Admission.Refused -> request.refused(PoolRefusal.OVERLOADED)
        }
    }

    fun releaseSlot(ticket: Ticket, usedSince: Duration, ran: Boolean, answered: Boolean) {
        val now = environment.now()
        val held = now - usedSince
        apply(if (ran) queue.release(ticket, now, held, answered) else queue.abandon(ticket, now, held))
    }

    /** Returns [link], which must have no open transaction, for reuse. */
    fun releaseLink(link: PooledLink) {
        if (link.isClosed) return
        if (closed) return link.close()
        val waiter = nextWaiter(link)
        if (waiter != null) {
            waiter.complete(link)
        } else {
            idle.addLast(link)
        }
    }

    /**
     * Acquires a connection for polling, without a slot and ahead of statements; [done] gets null on a timeout or
     * failure.
     */
    fun acquireLink(done: (PooledLink?) -> Unit) {
        useInterval.record(environment.now())
        val link = pollIdle { true }
        if (link != null) return done(link)
        linkWaiters.addFirst(
            LinkWaiter(null, accepts = {
                true
            }, done).also { startTimer(it, environment.limits.reportTimeout) },
        )
        openMore()
    }

    /** Whether requests wait, a connection is being opened or more are idle than are kept. */
    val needsMaintenance: Boolean
        get() = queuedRequests.size + linkWaiters.size + opening > 0 || surplusIdle > 0

    private val surplusIdle: Int
        get() = idle.size - if (isScarce) 0 else environment.limits.maximumIdleConnections

    /** Refuses requests that waited too long and closes surplus idle connections. */
    fun maintain() {
        val now = environment.now()
        apply(queue.expire(now))
        val surplus = surplusIdle
        if (surplus > 0) idle.filter { now - it.idleSince > idleCloseDelay() }.take(surplus).forEach { it.close() }
        val isUnconnected = links.isEmpty() && opening == 0
        val keepsOne = leavingSince == null && !isScarce
        if (linkWaiters.isNotEmpty() || (isUnconnected && keepsOne)) openMore()
    }

    private fun idleCloseDelay(): Duration = when {
        !isScarce -> environment.limits.idleCloseDelay
        wasFullRecently -> environment.limits.scarceIdleCloseDelay
        else ->
            budget().keepTime(useInterval.average)
                .coerceIn(environment.limits.scarceIdleCloseDelay, environment.limits.maximumScarceKeepTime)
    }

    /** Updates the number of connections of other VMs from the member's total of [connections]. */
    fun updateConnectionCount(connections: Int) {
        connectionsOfOthers = (connections - links.size).coerceAtLeast(0)
        val isFull = freeConnections() <= 0
        countRefresh.recordCount(environment.now(), isFull)
        if (isFull) fullSince = environment.now()
        if (linkWaiters.isNotEmpty()) openMore()
    }

    /** Refuses all queued requests and closes all connections that are not busy. */
    fun close() {
        if (closed) return
        closed = true
        val refused = queuedRequests.values.toList()
        queuedRequests.clear()
        refused.forEach { it.refused(PoolRefusal.CLOSED) }
        linkWaiters.toList().also { linkWaiters.clear() }.forEach { it.complete(null) }
        links.toList().filter { !it.isBusy }.forEach { it.close() }
    }

    override fun linkOpened(link: PooledLink) {
        opening--
        refusedOpenings = 0
        link.openingTime?.let { if (distance == Duration.ZERO || it < distance) distance = it }
        health.recordAnswer(environment.now())
        if (connectionsOfOthers == null) requestConnectionCount(link) else releaseLink(link)
        if (linkWaiters.isNotEmpty()) openMore()
    }

    override fun linkReplied(link: PooledLink, command: MemberCommand, sentAt: Duration, reply: MemberReply) {
        health.recordAnswer(environment.now())
        reply.point?.let { health.recordPoint(it, environment.now()) }
        onReply(this, command, sentAt, reply)
    }

    override fun linkEnded(link: PooledLink, end: LinkEnd, opened: Boolean) {
        links.remove(link)
        idle.remove(link)
        if (!opened) opening--
        val now = environment.now()
        val full = end is LinkEnd.Rejected && end.code == RejectionCode.TOO_MANY_CONNECTIONS
        if (full) return recordRefusedOpening(now)
        if (!opened) {
            health.recordFailure(now, refused = end is LinkEnd.Refused)
            nextOpeningAt = now + FAILED_OPENING_DELAY
        }
        if (!opened && opening == 0) linkWaiters.toList().also { linkWaiters.clear() }.forEach { it.complete(null) }
    }

    /** Tries again soon while work waits: other VMs close connections to a full member whenever they are idle. */
    private fun recordRefusedOpening(now: Duration) {
        fullSince = now
        refusedOpenings = (refusedOpenings + 1).coerceAtMost(MAXIMUM_REFUSAL_STEPS)
        val delay = REFUSED_OPENING_DELAY * refusedOpenings
        nextOpeningAt = now + delay
        if (linkWaiters.isNotEmpty()) environment.schedule(delay) { if (linkWaiters.isNotEmpty()) openMore() }
    }

    /** Requests the member's connection count before [link] is lent, as a transaction may hold it for long. */
    private fun requestConnectionCount(link: PooledLink) {
        link.run(listOf(MemberCommand.Report), environment.limits.reportTimeout) { result ->
            if (result !is BatchResult.Answered) return@run
            releaseLink(link)
            if (linkWaiters.isNotEmpty()) openMore()
        }
    }

    private fun slotsOf(member: DiscoveredMember): Int =
        (member.slots * environment.limits.slotShare).roundToInt().coerceAtLeast(1)

    private fun connect(request: PoolRequest, ticket: Ticket) {
        useInterval.record(environment.now())
        val slot = PoolSlot(this, ticket, environment.now())
        val customer = request.customer
        val link = pollIdle { it.customer == customer }
        if (link != null) return request.granted(link, slot)
        val waiter = LinkWaiter(customer, accepts = { it.customer == customer }) { found ->
            if (found != null) {
                slot.connected(environment.now())
                request.granted(found, slot)
            } else {
                slot.release(ran = false, answered = true)
                request.refused(PoolRefusal.NO_CONNECTION)
            }
        }
        linkWaiters.addLast(waiter)
        startTimer(waiter, maxOf(environment.limits.connectionWait, request.item.target * CONNECTION_WAIT_SHARE))
        openMore()
    }

    private fun pollIdle(accepts: (PooledLink) -> Boolean): PooledLink? {
        idle.removeAll { it.isClosed }
        return idle.lastOrNull(accepts)?.also { idle.remove(it) }
    }

    private fun nextWaiter(link: PooledLink): LinkWaiter? {
        linkWaiters.removeAll { it.ended }
        return linkWaiters.firstOrNull { it.accepts(link) }?.also { linkWaiters.remove(it) }
    }

    private fun startTimer(waiter: LinkWaiter, after: Duration) {
        waiter.timer = environment.schedule(after) {
            linkWaiters.remove(waiter)
            waiter.complete(null)
        }
    }

    private fun openMore() {
        val wanted = linkWaiters.size.coerceIn(1, environment.limits.maximumConcurrentOpenings)
        while (!closed && opening < wanted && (mayOpen() || replaceIdle())) {
            val customer = linkWaiters.getOrNull(opening)?.customer
            opening++
            val link = PooledLink(member, customer, environment, this)
            links += link
            link.open(environment.openLink, environment.limits.openTimeout)
        }
        val isBlockedByCount = links.isNotEmpty() && opening == 0 && freeConnections() <= 0
        if (isBlockedByCount && countRefresh.begin(environment.now())) refreshConnectionCount()
    }

    /** Requests the member's connection count again, as other VMs may have closed theirs since the last one. */
    private fun refreshConnectionCount() = acquireLink { link ->
        if (link == null) {
            countRefresh.end()
            return@acquireLink
        }
        link.run(listOf(MemberCommand.Report), environment.limits.reportTimeout) { result ->
            countRefresh.end()
            if (result is BatchResult.Answered) releaseLink(link)
        }
    }

    /** Closes the idle connection that was unused for longest if work of another customer waits for one. */
    private fun replaceIdle(): Boolean {
        if (linkWaiters.isEmpty() || environment.now() < nextOpeningAt) return false
        val replaced = idle.firstOrNull() ?: return false
        replaced.close()
        return true
    }

    private fun mayOpen(): Boolean {
        val maximum = budget().maximum
        val share = (maximum * environment.limits.connectionShare).toInt().coerceAtLeast(1)
        val isAllowed = links.isEmpty() || freeConnections() > 0
        return links.size < share && isAllowed && environment.now() >= nextOpeningAt
    }

    /** Connections that the member accepts beyond those of the last count and the reserve of VMs that have none. */
    private fun freeConnections(): Int {
        // Until the member has reported its count, assume that other VMs hold all but the one that each VM may have.
        val connectionsOfOtherVms = connectionsOfOthers ?: budget().maximum
        return budget().maximum - environment.limits.connectionReserve - connectionsOfOtherVms - links.size
    }

    private fun apply(changes: QueueChanges) {
        changes.expired.forEach { queuedRequests.remove(it.ticket)?.refused?.invoke(PoolRefusal.OVERLOADED) }
        changes.granted.forEach { ticket -> queuedRequests.remove(ticket)?.let { connect(it, ticket) } }
    }

    private class LinkWaiter(
        val customer: CustomerName?,
        val accepts: (PooledLink) -> Boolean,
        private val done: (PooledLink?) -> Unit,
    ) {
        var timer: Cancel? = null
        var ended = false

        fun complete(link: PooledLink?) {
            if (ended) return
            ended = true
            timer?.invoke()
            done(link)
        }
    }

    private companion object {
        /** Share of the target that admitted work may wait for a connection, if that is longer than the usual wait. */
        const val CONNECTION_WAIT_SHARE = 0.4

        /** Delay after a rejection for too many connections; it grows with each further one. */
        val REFUSED_OPENING_DELAY = 60.milliseconds

        /** Limits the delay after repeated rejections to a fraction of the time that work waits for a connection. */
        const val MAXIMUM_REFUSAL_STEPS = 4

        /** Time after a member was full for which connections to it count as scarce. */
        val SCARCITY_PERIOD = 5.seconds

        /** Delay after a failed opening; limits attempts at a member that is down to a few a second. */
        val FAILED_OPENING_DELAY = MemberHealth.RETRY_DELAY
    }
}
