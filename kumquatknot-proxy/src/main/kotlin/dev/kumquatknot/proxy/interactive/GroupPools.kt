package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.balancing.MemberChoice
import dev.kumquatknot.core.balancing.MemberLoad
import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.databasegroup.FreshnessProofs
import dev.kumquatknot.core.databasegroup.ObservedReplication
import dev.kumquatknot.core.databasegroup.PrimaryTracker
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberHistory
import dev.kumquatknot.core.interactive.MemberReply
import dev.kumquatknot.core.interactive.ReadCandidate
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.ReadPlacement
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.fleet.LoadReportPayload
import dev.kumquatknot.proxy.pool.ConnectionBudget
import dev.kumquatknot.proxy.pool.MemberPool
import dev.kumquatknot.proxy.pool.PoolRole
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Receives what [GroupPools] need from their node. */
internal interface GroupListener {
    /** The group has come into use or has other members, so that maintenance and polls may be due. */
    fun changed()

    /** The primary of [group] turned out not to lead. */
    fun primaryUnknown(group: GroupPools)
}

/**
 * Connection pools for the members of one group, with the believed primary and the proofs of replica freshness.
 *
 * @param choice chooses the member of reads that are placed by load.
 * @param isBalanced whether reads are placed by estimates of the members' load.
 * @param role this VM's part in the use of a member.
 * @param synchronousReplicas number of replicas that must have received a commit before the primary acknowledges it.
 */
internal class GroupPools(
    val group: DatabaseName,
    private val environment: NodeEnvironment,
    private val isRemote: (DiscoveredMember) -> Boolean,
    private val connections: () -> ConnectionBudget,
    private val listener: GroupListener,
    choice: MemberChoice = MemberChoice(),
    private val isBalanced: () -> Boolean = { false },
    private val role: (DiscoveredMember) -> PoolRole = { PoolRole.SHARED },
    private val synchronousReplicas: () -> Int = { 0 },
) {
    private val pools = LinkedHashMap<MemberName, MemberPool>()
    private val placement = ReadPlacement()
    private val placementByLoad = ReadPlacement(choice = choice)
    private val loads = HashMap<MemberName, MemberLoad>()
    private val history = MemberHistory()
    private var replicasLaggedAt = -Duration.INFINITE
    private var usedAt = -Duration.INFINITE
    private var observedSince: Duration? = null
    private var maintainedAt = -Duration.INFINITE

    private var replicated: HistoryPoint? = null

    /** How commits of the group are acknowledged, as far as this VM knows. */
    val replication: ObservedReplication get() = ObservedReplication(synchronousReplicas(), replicated)

    val belief = PrimaryTracker()
    val proofs = FreshnessProofs()

    /** Waits for the replication of commits. */
    val confirmer = CommitConfirmer(group, environment, ::successors, ::requiredReceipt)

    /** All pools, including those of leaving members. */
    val all: Collection<MemberPool> get() = pools.values

    /**
     * Applies the members that discovery [listed] in an [era] of the store; members that are no longer listed stay
     * until [InteractiveLimits.removalDelay].
     */
    fun updateMembers(listed: List<DiscoveredMember>, era: StoreEra) {
        val now = environment.now()
        val before = pools.values.map { it.member }
        val members = history.reconcile(listed, era, now)
        members.forEach { member ->
            val known = pools[member.name]
            if (known != null && known.member.isSameLifeAs(member)) {
                if (member.leaving && !known.member.leaving) logMember(Event.MEMBER_LEAVING, member)
                known.updateMember(member)
            } else {
                known?.close()
                loads.remove(member.name)
                pools[member.name] = newPool(member).also { it.maintain() }
                logMember(Event.MEMBER_DISCOVERED, member)
            }
        }
        val names = members.map { it.name }.toSet()
        val missing = pools.values.filter { it.member.name !in names && it.missingSince == null }
        missing.forEach { it.missingSince = now }
        belief.claim(members.singleOrNull { it.claimsPrimary }?.name)
        // Members write to the store all the time, mostly without a change.
        if (missing.isNotEmpty() || pools.values.map { it.member } != before) listener.changed()
    }

    /** Whether this VM served an operation of the group lately. */
    val isInUse: Boolean get() = environment.now() - usedAt < USE_PERIOD

    /** Whether pools have to be maintained soon, other than to replace a lost connection. */
    val needsMaintenance: Boolean
        get() = isInUse || pools.values.any { it.missingSince != null || it.needsMaintenance }

    /** Records that this VM serves an operation of the group. */
    fun recordUse() {
        val wasInUse = isInUse
        usedAt = environment.now()
        if (wasInUse) return
        resumeObservation()
        listener.changed()
    }

    /**
     * Records that this VM polls the members from now on. What it knows of them is as old as the pause: failures count
     * anew, and discovery knows of a change of the primary that this VM has missed.
     */
    fun resumeObservation() {
        if (observedSince != null) return
        val now = environment.now()
        observedSince = now
        pools.values.forEach { it.health.resumeObservation(now) }
        belief.preferClaim()
    }

    /** Records that this VM no longer polls the members. */
    fun pauseObservation() {
        observedSince = null
    }

    /** Maintains the pools if they need it, and otherwise now and then, to replace connections that were lost. */
    fun maintainIfDue() {
        if (needsMaintenance || environment.now() - maintainedAt >= RestingTimer.LONGEST_REST) maintain()
    }

    /** Closes idle connections of customers that are not in [customers]. */
    fun updateCustomers(customers: CustomerDirectory) = pools.values.forEach { it.updateCustomers(customers) }

    /** Removes members that discovery has not listed for a while and maintains the other pools. */
    private fun maintain() {
        val now = environment.now()
        maintainedAt = now
        val gone = pools.values.filter { pool ->
            pool.missingSince?.let { now - it > environment.limits.removalDelay }
                ?: false
        }
        gone.forEach { pool ->
            pools.remove(pool.member.name)
            loads.remove(pool.member.name)
            belief.disprove(pool.member.name, now)
            logMember(Event.MEMBER_GONE, pool.member)
            pool.close()
        }
        pools.values.forEach { it.maintain() }
    }

    /** Tells callers why writes are rejected; null unless no replica has received the primary's commits for long. */
    fun describeStall(): String? = confirmer.stalledSince?.let { since ->
        "no replica of $group has received its primary's commits for ${environment.now() - since}"
    }

    /** Whether [pool] belongs to the believed primary. */
    fun leads(pool: MemberPool): Boolean = pool.member.name == belief.primary

    /**
     * The pool of the believed primary if it may get new work; null if the primary is unknown, lost or leaving too
     * long.
     */
    fun availablePrimary(): MemberPool? = primaryPool?.takeIf { pool ->
        val leavingFor = pool.leavingSince?.let { environment.now() - it }
        (leavingFor == null || leavingFor < environment.limits.leavingWriteTime) && primaryLostSince() == null
    }

    /** The pool of the believed primary, whatever its state. */
    val primaryPool: MemberPool? get() = belief.primary?.let { pools[it] }

    /**
     * Time of the last proof of the primary's lead if the primary is lost, or of the first poll after a pause; null if
     * it is not lost or was never proved.
     */
    fun primaryLostSince(): Duration? {
        val polledSince = observedSince ?: return null
        val seenAt = proofs.latestProofRequestedAt?.let { maxOf(it, polledSince) } ?: return null
        val pool = primaryPool
        val isSuspected = pool == null || !belief.isProved || pool.health.failures > 0
        return seenAt.takeIf { isSuspected && environment.now() - it > PRIMARY_LOSS_TIMEOUT }
    }

    /**
     * Returns the point that a replica must have reached for a read of [route]; null if no recent enough one is proved.
     */
    fun requiredPoint(route: InteractiveRoute, own: HistoryPoint?): HistoryPoint? {
        val age = route.maximumStaleness - environment.limits.stalenessMargin
        val proved = proofs.required(environment.now(), age) ?: return null
        return if (route.consistency == ReadConsistency.READ_YOUR_WRITES && own != null && own > proved) own else proved
    }

    /** Returns the best pool for a read that needs [required], excluding members in [tried]; null if there is none. */
    fun poolForRead(required: HistoryPoint, tried: Set<MemberName>): MemberPool? {
        val now = environment.now()
        val lost = primaryPool.takeIf { primaryLostSince() != null }
        val candidates = pools.values
            .filter { it.leavingSince == null && it.health.isUsable && it !== lost && it.member.name !in tried }
            .map { candidate(it, now) }
        val chosen = (if (isBalanced()) placementByLoad else placement).choose(candidates, required)
            ?.let { pools[it.name] }
        chosen?.let { loadOf(it).recordSent(now) }
        if (chosen == null || leads(chosen)) replicasLaggedAt = now
        return chosen
    }

    /** Whether replicas were too far behind for a read lately, so that older proofs would let more of them serve. */
    val needsFrequentProofs: Boolean get() = environment.now() - replicasLaggedAt < LAG_PERIOD

    /** The pool of [member]; null if it is not known. */
    fun poolOf(member: MemberName): MemberPool? = pools[member]

    /**
     * The pools of members that may take over; nearest first, those without a known distance or failing last. A leaving
     * member may do so only in a group with synchronous replicas, if no other one has all that it has.
     */
    private fun successors(): List<MemberPool> = pools.values
        .filter { !leads(it) && (it.leavingSince == null || synchronousReplicas() > 0) }
        .sortedWith(compareBy({ it.health.failures }, { it.distance == Duration.ZERO }, { it.distance }))

    /**
     * Synchronous replicas have received a commit before the primary acknowledges it, but not those that may be
     * promoted soon. Once that is to be expected, because the primary leaves or a replica is paused, all that are not
     * paused are required. A replica that is paused after the commit is promoted only behind a later fence, and then
     * has what the others have. One that leaves may have ended already and is required only if no other one is left.
     */
    private fun requiredReceipt(primary: MemberName, committedAt: Duration): RequiredReceipt {
        if (synchronousReplicas() == 0) return RequiredReceipt.AnyReplica
        val leader = belief.primary
        if (leader != primary) return leader?.let { RequiredReceipt.Each(setOf(it)) } ?: RequiredReceipt.Unknown
        val (paused, others) = pools.values.filter { it.member.name != primary }
            .partition { it.health.isPaused(committedAt) }
        val mayBeReplaced = pools[primary]?.leavingSince != null || paused.isNotEmpty()
        val staying = others.filter { it.leavingSince == null }
        return when {
            !mayBeReplaced -> RequiredReceipt.Each(emptySet())
            others.isEmpty() && paused.isNotEmpty() -> RequiredReceipt.Unknown
            else -> RequiredReceipt.Each(staying.ifEmpty { others }.map { it.member.name }.toSet())
        }
    }

    private fun newPool(member: DiscoveredMember) = MemberPool(member, environment, connections, ::recordReply) {
        role(pools[member.name]?.member ?: member)
    }

    private fun candidate(pool: MemberPool, now: Duration) = ReadCandidate(
        name = pool.member.name,
        primary = leads(pool),
        point = pool.health.point,
        pointAge = now - pool.health.pointAt,
        expectedWait = pool.expectedWait(),
        distance = pool.distance,
        remote = isRemote(pool.member),
        load = loadOf(pool).estimate(now),
    )

    private fun loadOf(pool: MemberPool): MemberLoad {
        val slots = pool.member.slots
        return loads[pool.member.name]?.takeIf { it.slots == slots }
            ?: MemberLoad(slots).also { loads[pool.member.name] = it }
    }

    /** Records what [vm] has told of the load of members of this group. */
    fun recordLoadReport(vm: VmName, report: LoadReportPayload) = report.members.forEach { reported ->
        val pool = pools[MemberName(reported.member)] ?: return@forEach
        val service = reported.serviceMicros.microseconds
        loadOf(pool).recordReport(vm, reported.busy, reported.queued, service, environment.now())
    }

    /** Only statements that ran have waited for a slot; a member that is busy refuses one at once. */
    private fun recordLoad(pool: MemberPool, command: MemberCommand, sentAt: Duration, reply: MemberReply) {
        if (command !is MemberCommand.Run && command !is MemberCommand.Execute) return
        if (reply.isCompleted) loadOf(pool).recordAnswer(sentAt, environment.now())
        if (reply.rejection == RejectionCode.BUSY) loadOf(pool).recordRefusal(sentAt, environment.now())
    }

    private fun recordReply(pool: MemberPool, command: MemberCommand, sentAt: Duration, reply: MemberReply) {
        recordLoad(pool, command, sentAt, reply)
        val name = pool.member.name
        val point = reply.point
        if (command.isOfCaller) recordUse()
        reply.report?.let { report ->
            pool.health.recordReport(report, sentAt, environment.now())
            pool.updateConnectionCount(report.connections)
            if (!report.primary) disprove(pool, sentAt)
            recordPosition(pool, report.received, isReplica = !report.primary)
        }
        point?.let { recordPosition(pool, it, isReplica = !provesLead(command, reply)) }
        if (reply.rejection == RejectionCode.READ_ONLY) {
            disprove(pool, sentAt)
            return
        }
        if (!reply.isCompleted || point == null || !provesLead(command, reply)) return
        if (belief.prove(name, sentAt)) {
            proofs.recordPrimaryChange(point, sentAt)
            // What replicas had received beyond the new primary's log was rolled back.
            replicated = replicated?.let { minOf(it, point) }
            confirmer.recordPrimaryChange(name)
            logBelief(Event.PRIMARY_PROVED, pool, sentAt)
        } else if (belief.primary == name) {
            proofs.record(point, sentAt)
        }
    }

    private fun recordPosition(pool: MemberPool, point: HistoryPoint, isReplica: Boolean) {
        confirmer.observe(pool.member.name, point)
        if (isReplica && !leads(pool)) replicated = maxOf(point, replicated ?: point)
    }

    private fun disprove(pool: MemberPool, sentAt: Duration) {
        if (!belief.disprove(pool.member.name, sentAt)) return
        logBelief(Event.PRIMARY_DISPROVED, pool, sentAt)
        listener.primaryUnknown(this)
    }

    private val MemberCommand.isOfCaller: Boolean
        get() = this is MemberCommand.Run || this is MemberCommand.Execute || this is MemberCommand.Commit

    private fun provesLead(command: MemberCommand, reply: MemberReply): Boolean = when (command) {
        is MemberCommand.Begin -> !command.readOnly
        is MemberCommand.Run -> command.access == StatementAccess.WRITE
        is MemberCommand.Execute -> command.access == StatementAccess.WRITE
        is MemberCommand.Reporting -> reply.report?.primary ?: false
        else -> false
    }

    private fun DiscoveredMember.isSameLifeAs(other: DiscoveredMember) =
        startedAtMillis == other.startedAtMillis && address == other.address

    private fun logMember(event: Event, member: DiscoveredMember) = environment.events.log(
        event,
        "group" to group.value,
        "member" to member.name.value,
        "address" to member.address,
        "dataCentre" to member.dataCentre.value,
    )

    private fun logBelief(event: Event, pool: MemberPool, sentAt: Duration) = environment.events.log(
        event,
        "group" to group.value,
        "member" to pool.member.name.value,
        "point" to pool.health.point?.toString(),
        "evidenceAgeMs" to (environment.now() - sentAt).inWholeMilliseconds,
    )

    private companion object {
        /** Time after an operation for which the group counts as used. */
        val USE_PERIOD = 5.seconds

        /** Time without a response of the primary after which it counts as lost; by then two polls went unanswered. */
        val PRIMARY_LOSS_TIMEOUT = 800.milliseconds

        /** Time after a read found no replica that was recent enough for which replicas count as lagging. */
        val LAG_PERIOD = 2.seconds
    }
}
