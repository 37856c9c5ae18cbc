package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.pooling.ConnectionAllowance
import dev.kumquatknot.core.pooling.ConnectionDemand
import dev.kumquatknot.core.pooling.ConnectionSituation
import dev.kumquatknot.core.pooling.ConnectionStep
import dev.kumquatknot.core.pooling.CustomerConnections
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * This VM's connection pool for one member, with the admission queue for the member's slots.
 *
 * Several VMs use a member concurrently. Each admits as many statements as its share of the member's slots allows; the
 * member's own short queue balances the load of the VMs. The limit falls when the member becomes slow. A statement runs
 * on a connection that was opened for its customer.
 *
 * @param role this VM's part in the use of the member, which may change.
 */
internal class MemberPool(
    member: DiscoveredMember,
    private val environment: NodeEnvironment,
    private val budget: () -> ConnectionBudget,
    private val onReply: (MemberPool, MemberCommand, Duration, MemberReply) -> Unit,
    private val role: () -> PoolRole = { PoolRole.SHARED },
) : LinkListener {
    private val limits = environment.limits
    private val share = MemberShare(limits)
    private val decisions = CustomerConnections()
    private val admission = PoolAdmission(share.slots(role(), member.slots), environment::now, ::connect)
    private val kept = KeptLinks(decisions)
    private val waiters = LinkWaiters(environment, decisions)
    private val opener = LinkOpener(environment, this)
    private val count = MemberConnectionCount(limits.connectionReserve, environment::now)
    private val linksOfCountRequests = HashSet<PooledLink>()
    private val useInterval = UseInterval()
    private var latestRole = role()
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
    val distance: Duration get() = opener.distance

    /** Start time of the oldest opening that the member has not answered; null if there is none. */
    val openingSince: Duration? get() = opener.openingSince

    /**
     * Whether the member has no connections to spare: then a VM keeps one only while it needs it, so that all VMs can
     * use the member by turns. A home VM has connections of its own.
     */
    val isScarce: Boolean get() = (role() != PoolRole.HOME && budget().isShort) || count.wasFullRecently

    /** Whether a poll is worth a connection: of a scarce member or as a guest, only one that this VM has anyway. */
    val mayPoll: Boolean
        get() = when (role()) {
            PoolRole.SHARED -> !isScarce || kept.idle.isNotEmpty()
            PoolRole.HOME -> true
            PoolRole.GUEST -> kept.idle.isNotEmpty()
        }

    /** Whether this VM has an open connection to the member, idle or in use. */
    val isConnected: Boolean get() = kept.all.any { it.openingTime != null }

    /** Observed time that the member takes for a statement. */
    val serviceTime: Duration get() = admission.serviceTime

    /** Estimated time that a new request would wait for a slot. */
    fun expectedWait(): Duration = admission.expectedWait()

    fun updateMember(next: DiscoveredMember) {
        if (next.leaving && !member.leaving) leavingSince = environment.now()
        if (!next.leaving) leavingSince = null
        member = next
        missingSince = null
    }

    /** Closes connections of customers that are not in [customers] as soon as they are idle. */
    fun updateCustomers(customers: CustomerDirectory) = kept.updateCustomers(customers)

    /** Queues [request] for a slot, or grants or refuses it at once. */
    fun submit(request: PoolRequest) {
        if (closed) return request.refused(PoolRefusal.CLOSED)
        adjustSlots()
        admission.submit(request)
        // Statements that waited patiently for a connection of their customer must not keep others from a slot.
        if (kept.hasCustomers && waiters.isNotEmpty() && admission.hasQueue) openMore()
    }

    /** Drops [request] if it waits for a slot or a connection: it is then neither granted nor refused. */
    fun cancel(request: PoolRequest) {
        if (!admission.cancel(request) && waiters.cancel(request)) adjustSlots()
    }

    /** Returns [link], which must have no open transaction, for reuse. */
    fun releaseLink(link: PooledLink) {
        if (link.isClosed) return
        when {
            closed || kept.isObsolete(link) -> link.close()
            waiters.serve(link) -> return
            else -> kept.keep(link)
        }
        // The idle or closed connection makes room for one of another customer.
        if (waiters.isNotEmpty()) openMore()
    }

    /**
     * Acquires a connection for polling, without a slot and ahead of statements; [done] gets null on a timeout or
     * failure.
     */
    fun acquireLink(done: (PooledLink?) -> Unit) {
        useInterval.record(environment.now())
        val link = kept.takeForPoll()
        if (link != null) return done(link)
        waiters.addPoll(limits.reportTimeout, done)
        openMore()
    }

    /** Whether requests wait, a connection is being opened or more are idle than are kept. */
    val needsMaintenance: Boolean
        get() = admission.hasQueue ||
            waiters.isNotEmpty() ||
            opener.opening.isNotEmpty() ||
            surplusOf(closableLinks(role()), role()) > 0

    /** Refuses requests that waited too long and closes surplus idle connections. */
    fun maintain() {
        adjustSlots()
        admission.expire()
        closeSurplus()
        val keepsOne = leavingSince == null && !isScarce && role() != PoolRole.GUEST
        if (waiters.isNotEmpty() || (kept.size == 0 && keepsOne)) openMore(forItself = keepsOne)
    }

    /** Updates the number of connections of other VMs from the member's total of [connections]. */
    fun updateConnectionCount(connections: Int) {
        count.record(connections, kept.size, budget().maximum)
        if (waiters.isNotEmpty()) openMore()
    }

    /** Refuses all queued requests and closes all connections that are not busy. */
    fun close() {
        if (closed) return
        closed = true
        admission.close()
        waiters.failAll()
        kept.all.filter { !it.isBusy }.forEach { it.close() }
    }

    override fun linkAccepted() = health.recordAccepted(environment.now())

    override fun linkOpened(link: PooledLink) {
        opener.recordOpened(link)
        health.recordAnswer(environment.now())
        if (count.isKnown) releaseLink(link) else requestConnectionCount(link)
        if (waiters.isNotEmpty()) openMore()
        adjustSlots()
    }

    override fun linkReplied(link: PooledLink, command: MemberCommand, sentAt: Duration, reply: MemberReply) {
        health.recordAnswer(environment.now())
        reply.point?.let { health.recordPoint(it, environment.now()) }
        onReply(this, command, sentAt, reply)
    }

    override fun linkEnded(link: PooledLink, end: LinkEnd, opened: Boolean) {
        kept.remove(link)
        opener.recordEnd(link)
        val isFull = end is LinkEnd.Rejected && end.code == RejectionCode.TOO_MANY_CONNECTIONS
        if (isFull) {
            recordFullMember()
        } else if (!opened) {
            health.recordFailure(environment.now(), refused = end is LinkEnd.Refused)
            opener.recordFailure()
            if (opener.opening.isEmpty()) waiters.failAll()
        }
        if (!opened) adjustSlots()
    }

    /** Tries again soon while work waits: other VMs close connections to a full member whenever they are idle. */
    private fun recordFullMember() {
        count.recordFull()
        val delay = opener.recordFull()
        if (waiters.isEmpty()) return
        decisions.leastNeeded(situation())?.let { kept.idle[it].close() }
        environment.schedule(delay) { if (waiters.isNotEmpty()) openMore() }
    }

    /** Requests the member's connection count before [link] is lent, as a transaction may hold it for long. */
    private fun requestConnectionCount(link: PooledLink) {
        // The work for which the connection was opened gets it soon, so none is opened in its place.
        if (link.customer != null) linksOfCountRequests += link
        link.run(listOf(MemberCommand.Report), limits.reportTimeout) { result ->
            linksOfCountRequests -= link
            if (result !is BatchResult.Answered) return@run
            releaseLink(link)
            if (waiters.isNotEmpty()) openMore()
        }
    }

    private fun connect(request: PoolRequest, slot: PoolSlot) {
        useInterval.record(environment.now())
        val link = kept.takeForStatement(request.customer)
        if (link != null) return request.granted(link, slot)
        if (isUnreachable(request.customer, slot)) return refuse(request, slot)
        waiters.addStatement(request, slot, connectionWait(request, slot)) { found ->
            if (found == null) return@addStatement refuse(request, slot)
            slot.connected(environment.now())
            request.granted(found, slot)
        }
        openMore()
        if (request.customer == null || waiters.isEmpty()) return
        environment.schedule(OWN_CONNECTION_WAIT) { if (waiters.isNotEmpty()) openMore() }
    }

    private fun refuse(request: PoolRequest, slot: PoolSlot) {
        slot.release(ran = false, answered = true)
        request.refused(PoolRefusal.NO_CONNECTION)
    }

    /** Whether no connection for [customer] can open early enough for the statement that holds [slot]. */
    private fun isUnreachable(customer: CustomerName?, slot: PoolSlot): Boolean =
        !kept.hasOne(customer) && opener.earliestEnd > slot.latestStart

    private fun connectionWait(request: PoolRequest, slot: PoolSlot): Duration {
        val usual = maxOf(limits.connectionWait, request.item.target * CONNECTION_WAIT_SHARE)
        return minOf(usual, slot.latestStart - environment.now()).coerceAtLeast(Duration.ZERO)
    }

    /** Opens connections for waiting work, and one [forItself] if there is none. */
    private fun openMore(forItself: Boolean = false) {
        while (!closed && !opener.isDelayed) {
            val situation = situation(forItself)
            when (val step = decisions.nextStep(situation, allowance())) {
                is ConnectionStep.Open -> open(step.customer)
                is ConnectionStep.Replace -> {
                    kept.idle[step.closed].close()
                    open(step.customer)
                }
                is ConnectionStep.Wait -> break
            }
        }
        refreshConnectionCount()
        adjustSlots()
    }

    private fun open(customer: CustomerName?) {
        val link = opener.create(member, customer)
        kept.add(link)
        opener.start(link)
    }

    private fun situation(forItself: Boolean = false): ConnectionSituation {
        // A statement that waits for a busy connection holds its slot unused, so it waits only while nobody needs it.
        val hasQueue = admission.hasQueue
        val work = waiters.demands(
            // Polls wait for one of the customers' connections, which return soon unless transactions hold them all.
            opensForPoll = { waited -> !kept.hasCustomers || waited >= POLL_OPENING_DELAY },
            isPatient = { waited -> !hasQueue && waited < OWN_CONNECTION_WAIT },
        )
        return ConnectionSituation(
            idle = kept.idle.map { it.customer },
            busy = (kept.busy - linksOfCountRequests).map { it.customer },
            opening = (opener.opening + linksOfCountRequests).map { it.customer },
            waiting = if (forItself && kept.size == 0) work + ConnectionDemand.Poll(mayOpen = true) else work,
        )
    }

    private fun allowance(): ConnectionAllowance {
        val maximum = budget().maximum
        val byCount = if (kept.size == 0) 1 else kept.size + count.free(kept.size, maximum)
        return ConnectionAllowance(
            connections = minOf(share.connections(role(), maximum), byCount),
            // The work for which a connection opens holds a slot already.
            openings = maxOf(limits.maximumConcurrentOpenings, admission.freeSlots + waiters.statements),
            openingsPerCustomer = limits.maximumConcurrentOpenings,
        )
    }

    /** Requests the member's connection count again, as other VMs may have opened or closed some since the last one. */
    private fun refreshConnectionCount() {
        val isOpening = opener.opening.isNotEmpty() || linksOfCountRequests.isNotEmpty()
        val isBlockedByCount = !isOpening && count.free(kept.size, budget().maximum) <= 0
        val isOutdated = role() != PoolRole.SHARED && count.isOld
        val isNeeded = kept.size > 0 && (isBlockedByCount || isOutdated)
        if (!isNeeded || !count.beginRequest()) return
        acquireLink { link ->
            if (link == null) return@acquireLink count.endRequest()
            link.run(listOf(MemberCommand.Report), limits.reportTimeout) { result ->
                count.endRequest()
                if (result is BatchResult.Answered) releaseLink(link)
            }
        }
    }

    /** Applies the role, and in roles that use known shares of the slots, counts handshakes as used slots. */
    private fun adjustSlots() {
        if (closed) return
        val current = role()
        val handshakes = opener.opening.count { environment.now() - it.startedAt < HANDSHAKE_TIME }
        val withoutRequest = handshakes - waiters.statements
        val reserved = if (current == PoolRole.SHARED) 0 else withoutRequest.coerceAtLeast(0)
        admission.adjust(share.slots(current, member.slots), reserved)
    }

    private fun closeSurplus() {
        val current = role()
        val hasChanged = current != latestRole
        latestRole = current
        if (hasChanged) kept.shrinkTo(share.connections(current, budget().maximum))
        if (current != PoolRole.SHARED && count.isKnown) kept.shrinkTo(allowance().connections)
        val closable = closableLinks(current)
        val surplus = surplusOf(closable, current)
        if (surplus <= 0) return
        val now = environment.now()
        val delay = idleCloseDelay(current)
        closable.filter { now - it.idleSince > delay }.take(surplus).forEach { it.close() }
    }

    private fun closableLinks(current: PoolRole): List<PooledLink> =
        if (keepsCustomers(current)) kept.idle.filter { it.customer == null } else kept.idle

    private fun surplusOf(closable: List<PooledLink>, current: PoolRole): Int =
        closable.size - if (isScarce || current == PoolRole.GUEST) 0 else limits.maximumIdleConnections

    private fun keepsCustomers(current: PoolRole): Boolean = when (current) {
        PoolRole.SHARED -> !isScarce
        PoolRole.HOME -> true
        PoolRole.GUEST -> false
    }

    private fun idleCloseDelay(current: PoolRole): Duration = when {
        count.wasFullRecently -> limits.scarceIdleCloseDelay
        !isScarce || current == PoolRole.GUEST -> limits.idleCloseDelay
        else -> budget().keepTime(
            useInterval.average,
        ).coerceIn(limits.scarceIdleCloseDelay, limits.maximumScarceKeepTime)
    }

    private companion object {
        /** Share of the target that admitted work may wait for a connection, if that is longer than the usual wait. */
        const val CONNECTION_WAIT_SHARE = 0.4

        /** Time after which a poll gets a connection of its own; longer than most statements use a customer's one. */
        val POLL_OPENING_DELAY = 100.milliseconds

        /** Time for which an opening counts as a used slot, so that a silent member does not keep slots in use. */
        val HANDSHAKE_TIME = 100.milliseconds

        /** Time for which a statement waits for a busy connection of its customer; most statements end within it. */
        val OWN_CONNECTION_WAIT = 30.milliseconds
    }
}
