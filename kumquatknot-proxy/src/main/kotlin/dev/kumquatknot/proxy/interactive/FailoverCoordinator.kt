package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.databasegroup.FailoverOrder
import dev.kumquatknot.core.databasegroup.FailoverReason
import dev.kumquatknot.core.databasegroup.FailoverStep
import dev.kumquatknot.core.databasegroup.GroupFailover
import dev.kumquatknot.core.databasegroup.ObservedGroup
import dev.kumquatknot.core.databasegroup.ObservedMember
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.platform.OrderPromotion
import dev.kumquatknot.core.platform.PromotionAnswer
import dev.kumquatknot.core.platform.PromotionOrder
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.metric.InteractiveMetrics
import dev.kumquatknot.proxy.pool.BatchResult
import dev.kumquatknot.proxy.pool.MemberPool
import java.util.concurrent.Executor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Orders failovers while this VM holds the lease. Decisions run on the node's event loop, blocking
 * orders on [executor].
 */
public class FailoverCoordinator(
    private val node: InteractiveNode,
    private val leaseRenewer: DutyLeaseRenewer,
    private val holder: String,
    private val order: OrderPromotion,
    private val executor: Executor,
    private val metrics: InteractiveMetrics,
) {
    private val environment = node.nodeEnvironment
    private val failovers = HashMap<DatabaseName, GroupFailover>()
    private val groupsBeingOrdered = HashSet<DatabaseName>()
    private val waitingGroups = HashSet<DatabaseName>()
    private val pendingCommands = HashSet<MemberName>()
    private var lastUsedToken = 0L
    private var isTokenRequested = false
    private var leaseHeldSince: Duration? = null
    private var leaseSeenAt = -Duration.INFINITE

    private val timer = RestingTimer(environment, CHECK_INTERVAL) { now ->
        checkGroups()
        if (node.decidesFailovers) now else Duration.INFINITE
    }

    /** Starts the periodic check of all groups, which rests while this VM does not hold the lease. */
    public fun start() {
        timer.start()
    }

    /** Checks on the next tick whether this VM holds the lease; may be called on any thread. */
    public fun dutyChanged() {
        environment.schedule(Duration.ZERO) { timer.wake() }
    }

    private fun checkGroups() {
        val now = environment.now()
        val token = leaseRenewer.heldToken
        node.decidesFailovers = token != null
        if (token == null) return stop(now)
        leaseSeenAt = now
        val since = leaseHeldSince ?: now.also { leaseHeldSince = it }
        if (now - since < INITIAL_REPORT_TIME) return
        node.groupPools.filter { it.group !in groupsBeingOrdered }.forEach { decide(it, token, now) }
    }

    /**
     * Lifts fences when the lease is lost, but not later, as after a pause of this VM: the next holder of the lease may
     * have erected its own ones by then.
     */
    private fun stop(now: Duration) {
        leaseHeldSince = null
        if (now - leaseSeenAt <= RELEASE_TIME) {
            node.groupPools.forEach { group ->
                val failover = failovers[group.group] ?: return@forEach
                send(group, failover, failover.commandsAtLeaseLoss())
            }
        }
        failovers.clear()
    }

    private fun decide(group: GroupPools, token: Long, now: Duration) {
        val failover = failovers.getOrPut(group.group) { GroupFailover() }
        val members = group.all.map { it.toFacts() }
        val observed = ObservedGroup(
            members,
            group.belief.primary,
            group.belief.isProved,
            group.replication,
            group.confirmer.stalledSince,
        )
        val fencedBefore = failover.fencedCandidate
        val step = failover.next(observed, now)
        logFence(group, failover, fencedBefore, members, now)
        logWait(group, failover.unmetReason, members, now)
        when (step) {
            null -> Unit
            is FailoverStep.Send -> send(group, failover, step, token)
            is FailoverStep.Confirm -> order(group, failover, token, step.primary, confirmed = true) { }
            is FailoverStep.Promote -> {
                failover.recordOrder(step.order.candidate, now)
                order(group, failover, token, step.order.candidate, confirmed = false) { used ->
                    logOrder(group, step.order, members, used)
                }
            }
        }
    }

    /** An order after the primary has stepped down must not wait for the store, so that its token comes first. */
    private fun send(group: GroupPools, failover: GroupFailover, step: FailoverStep.Send, token: Long) {
        val stepsDown = step.commands.values.any { it is MemberCommand.StepDown }
        if (!stepsDown || token > lastUsedToken) return send(group, failover, step.commands)
        send(group, failover, step.commands.filterValues { it !is MemberCommand.StepDown })
        if (isTokenRequested) return
        isTokenRequested = true
        leaseRenewer.advanceToken { environment.schedule(Duration.ZERO) { isTokenRequested = false } }
    }

    private fun send(group: GroupPools, failover: GroupFailover, commands: Map<MemberName, MemberCommand.Fence>) =
        commands.forEach { (member, command) ->
            val pool = group.poolOf(member) ?: return@forEach
            if (!pendingCommands.add(member)) return@forEach
            pool.acquireLink { link ->
                if (link == null) {
                    pendingCommands -= member
                    return@acquireLink
                }
                link.run(listOf(command), environment.limits.reportTimeout) { result ->
                    pendingCommands -= member
                    val reply = (result as? BatchResult.Answered)?.replies?.first()
                    if (result is BatchResult.Answered) pool.releaseLink(link)
                    // A member that knows no such command is judged by what it reports, like one that ignores it.
                    if (reply != null && reply.rejection != RejectionCode.BUSY) {
                        answered(group, failover, member, command, reply)
                    }
                }
            }
        }

    private fun answered(
        group: GroupPools,
        failover: GroupFailover,
        member: MemberName,
        command: MemberCommand.Fence,
        reply: MemberReply,
    ) {
        failover.recordAnswer(member, command, environment.now())
        val report = reply.report
        environment.events.log(
            Event.FENCE_COMMAND_ANSWERED,
            "group" to group.group.value,
            "member" to member.value,
            "command" to command.toString(),
            "code" to reply.rejection?.name,
            "leads" to report?.primary,
            "received" to report?.received?.toString(),
            "term" to report?.term?.value,
            "held" to report?.held?.value,
        )
    }

    private fun logFence(
        group: GroupPools,
        failover: GroupFailover,
        before: MemberName?,
        members: List<ObservedMember>,
        now: Duration,
    ) {
        val candidate = failover.fencedCandidate
        if (candidate == before) return
        environment.events.log(
            if (candidate == null) Event.FENCE_ENDED else Event.FENCE_ERECTED,
            "group" to group.group.value,
            "candidate" to (candidate ?: before)?.value,
            "primary" to group.belief.primary?.value,
            "members" to describe(members, now),
        )
    }

    private fun logWait(group: GroupPools, reason: FailoverReason?, members: List<ObservedMember>, now: Duration) {
        if (reason == null) waitingGroups -= group.group
        if (reason == null || !waitingGroups.add(group.group)) return
        environment.events.log(
            Event.FAILOVER_WAITING,
            "group" to group.group.value,
            "reason" to reason.name,
            "previous" to group.belief.primary?.value,
            "replicated" to group.replication.replicated?.toString(),
            "members" to describe(members, now),
        )
    }

    private fun describe(members: List<ObservedMember>, now: Duration): String = members.joinToString("; ") { member ->
        val reportAge = member.report?.let { (now - it.requestedAt).inWholeMilliseconds }
        val failing = member.failingSince?.let { " failingMs=${(now - it).inWholeMilliseconds}" }.orEmpty()
        "${member.name} received=${member.received} reported=${member.report?.received} reportAgeMs=$reportAge$failing"
    }

    /** Sends the order with a token that no order had before; [log] is called with it. */
    private fun order(
        group: GroupPools,
        failover: GroupFailover,
        token: Long,
        candidate: MemberName,
        confirmed: Boolean,
        log: (Long) -> Unit,
    ) {
        groupsBeingOrdered += group.group
        val send = { used: Long ->
            lastUsedToken = used
            log(used)
            executor.execute {
                val answer = order(PromotionOrder(group.group, candidate, holder, used))
                environment.schedule(Duration.ZERO) { answered(group, failover, candidate, confirmed, answer) }
            }
        }
        if (token > lastUsedToken) return send(token)
        leaseRenewer.advanceToken { advanced ->
            environment.schedule(Duration.ZERO) {
                if (advanced == null || advanced <= lastUsedToken) {
                    groupsBeingOrdered -= group.group
                    if (!confirmed) failover.recordRefusal()
                } else {
                    send(advanced)
                }
            }
        }
    }

    private fun logOrder(group: GroupPools, order: FailoverOrder, members: List<ObservedMember>, token: Long) {
        metrics.failoverOrdered(order.reason)
        environment.events.log(
            Event.FAILOVER_ORDERED,
            "group" to group.group.value,
            "candidate" to order.candidate.value,
            "received" to order.received.toString(),
            "reason" to order.reason.name,
            "previous" to group.belief.primary?.value,
            "token" to token,
            "members" to describe(members, environment.now()),
        )
    }

    private fun answered(
        group: GroupPools,
        failover: GroupFailover,
        candidate: MemberName,
        confirmed: Boolean,
        answer: PromotionAnswer,
    ) {
        groupsBeingOrdered -= group.group
        val isUndone = answer is PromotionAnswer.Refused || answer is PromotionAnswer.Unavailable
        if (confirmed && answer is PromotionAnswer.Accepted) failover.recordConfirmation()
        if (!confirmed && isUndone) failover.recordRefusal()
        environment.events.log(
            Event.FAILOVER_ANSWERED,
            "group" to group.group.value,
            "candidate" to candidate.value,
            "answer" to answer.toString(),
        )
    }

    private fun MemberPool.toFacts() = ObservedMember(
        name = member.name,
        leaving = leavingSince != null,
        answeredAt = health.answeredAt,
        failingSince = health.failingSince,
        failures = health.failures,
        refusing = health.refusing,
        received = listOfNotNull(health.report?.received, health.point).maxOrNull(),
        report = health.report,
        acceptedAt = health.acceptedAt,
    )

    private companion object {
        val CHECK_INTERVAL = 100.milliseconds

        /** Time that all members have to report first after this VM acquired the lease. */
        val INITIAL_REPORT_TIME = 500.milliseconds

        /** Less than [INITIAL_REPORT_TIME], in which the next holder of the lease erects no fence. */
        val RELEASE_TIME = 300.milliseconds
    }
}
