package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.databasegroup.FailoverDecision
import dev.kumquatknot.core.databasegroup.FailoverOrder
import dev.kumquatknot.core.databasegroup.FailoverReason
import dev.kumquatknot.core.databasegroup.ObservedMember
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.platform.OrderPromotion
import dev.kumquatknot.core.platform.PromotionAnswer
import dev.kumquatknot.core.platform.PromotionOrder
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.metric.InteractiveMetrics
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
    private val decisions = HashMap<DatabaseName, FailoverDecision>()
    private val groupsBeingOrdered = HashSet<DatabaseName>()
    private val waitingGroups = HashSet<DatabaseName>()
    private var lastUsedToken = 0L
    private var leaseHeldSince: Duration? = null

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
        val token = leaseRenewer.heldToken
        node.decidesFailovers = token != null
        if (token == null) {
            leaseHeldSince = null
            decisions.clear()
            return
        }
        val now = environment.now()
        val since = leaseHeldSince ?: now.also { leaseHeldSince = it }
        if (now - since < INITIAL_REPORT_TIME) return
        node.groupPools.filter { it.group !in groupsBeingOrdered }.forEach { decide(it, token, now) }
    }

    private fun decide(group: GroupPools, token: Long, now: Duration) {
        val decision = decisions.getOrPut(group.group) { FailoverDecision() }
        val facts = group.all.map { it.toFacts() }
        val stalledSince = group.confirmer.stalledSince
        val belief = group.belief
        val next = decision.decide(facts, belief.primary, belief.isProved, now, stalledSince, group.replication)
        logWait(group, decision.unmetReason, facts, now)
        if (next == null) return
        decision.recordOrder(next.candidate, now)
        groupsBeingOrdered += group.group
        if (token > lastUsedToken) {
            lastUsedToken = token
            send(group, decision, next, facts, token)
        } else {
            leaseRenewer.advanceToken { advanced ->
                environment.schedule(Duration.ZERO) {
                    if (advanced == null || advanced <= lastUsedToken) {
                        groupsBeingOrdered -= group.group
                        decision.clearOrder()
                    } else {
                        lastUsedToken = advanced
                        send(group, decision, next, facts, advanced)
                    }
                }
            }
        }
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

    private fun send(
        group: GroupPools,
        decision: FailoverDecision,
        next: FailoverOrder,
        members: List<ObservedMember>,
        token: Long,
    ) {
        metrics.failoverOrdered(next.reason)
        environment.events.log(
            Event.FAILOVER_ORDERED,
            "group" to group.group.value,
            "candidate" to next.candidate.value,
            "received" to next.received.toString(),
            "reason" to next.reason.name,
            "previous" to group.belief.primary?.value,
            "token" to token,
            "members" to describe(members, environment.now()),
        )
        executor.execute {
            val answer = order(PromotionOrder(group.group, next.candidate, holder, token))
            environment.schedule(Duration.ZERO) { answered(group, decision, next, answer) }
        }
    }

    private fun answered(
        group: GroupPools,
        decision: FailoverDecision,
        next: FailoverOrder,
        answer: PromotionAnswer,
    ) {
        groupsBeingOrdered -= group.group
        if (answer is PromotionAnswer.Refused || answer is PromotionAnswer.Unavailable) decision.clearOrder()
        environment.events.log(
            Event.FAILOVER_ANSWERED,
            "group" to group.group.value,
            "candidate" to next.candidate.value,
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
        report = health.receivedReport,
        acceptedAt = health.acceptedAt,
    )

    private companion object {
        val CHECK_INTERVAL = 100.milliseconds

        /** Time that all members have to report first after this VM acquired the lease. */
        val INITIAL_REPORT_TIME = 500.milliseconds
    }
}
