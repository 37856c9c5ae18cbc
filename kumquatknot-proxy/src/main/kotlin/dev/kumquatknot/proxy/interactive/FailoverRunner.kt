package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.databasegroup.FailoverDecision
import dev.kumquatknot.core.databasegroup.FailoverOrder
import dev.kumquatknot.core.databasegroup.ObservedMember
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.platform.OrderPromotion
import dev.kumquatknot.core.platform.PromotionAnswer
import dev.kumquatknot.core.platform.PromotionOrder
import dev.kumquatknot.proxy.event.Event
import java.util.concurrent.Executor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Orders failovers while this VM holds that duty. Decisions run on the node's event loop, the orders on [executor].
 */
public class FailoverRunner(
    private val node: InteractiveNode,
    private val keeper: DutyKeeper,
    private val holder: String,
    private val order: OrderPromotion,
    private val executor: Executor,
    private val metrics: InteractiveMetrics,
) {
    private val environment = node.nodeEnvironment
    private val decisions = HashMap<DatabaseName, FailoverDecision>()
    private val ordering = HashSet<DatabaseName>()
    private var tokenUsed = 0L
    private var holdsSince: Duration? = null

    /** Starts to look at the groups. */
    public fun start() {
        environment.schedule(INTERVAL) {
            start()
            look()
        }
    }

    private fun look() {
        val token = keeper.heldToken
        node.decidesFailovers = token != null
        if (token == null) {
            holdsSince = null
            decisions.clear()
            return
        }
        val now = environment.now()
        val since = holdsSince ?: now.also { holdsSince = it }
        if (now - since < SETTLING) return
        node.groupLanes.filter { it.group !in ordering }.forEach { decide(it, token, now) }
    }

    private fun decide(group: GroupLanes, token: Long, now: Duration) {
        val decision = decisions.getOrPut(group.group) { FailoverDecision() }
        val facts = group.all.map { it.facts() }
        val next = decision.decide(facts, group.belief.primary, group.belief.isProved, now) ?: return
        decision.ordered(next.candidate, now)
        ordering += group.group
        if (token > tokenUsed) {
            tokenUsed = token
            send(group, decision, next, token)
        } else {
            keeper.advance { advanced ->
                environment.schedule(Duration.ZERO) {
                    if (advanced == null || advanced <= tokenUsed) {
                        ordering -= group.group
                        decision.clearOrder()
                    } else {
                        tokenUsed = advanced
                        send(group, decision, next, advanced)
                    }
                }
            }
        }
    }

    private fun send(group: GroupLanes, decision: FailoverDecision, next: FailoverOrder, token: Long) {
        metrics.failoverOrdered(next.reason)
        environment.events.log(
            Event.FAILOVER_ORDERED,
            "group" to group.group.value,
            "candidate" to next.candidate.value,
            "received" to next.received.toString(),
            "reason" to next.reason.name,
            "previous" to group.belief.primary?.value,
            "token" to token,
        )
        executor.execute {
            val answer = order(PromotionOrder(group.group, next.candidate, holder, token))
            environment.schedule(Duration.ZERO) { answered(group, decision, next, answer) }
        }
    }

    private fun answered(
        group: GroupLanes,
        decision: FailoverDecision,
        next: FailoverOrder,
        answer: PromotionAnswer,
    ) {
        ordering -= group.group
        if (answer is PromotionAnswer.Refused || answer is PromotionAnswer.Unavailable) decision.clearOrder()
        environment.events.log(
            Event.FAILOVER_ANSWERED,
            "group" to group.group.value,
            "candidate" to next.candidate.value,
            "answer" to answer.toString(),
        )
    }

    private fun MemberLane.facts() = ObservedMember(
        name = member.name,
        leaving = leavingSince != null,
        answeredAt = health.answeredAt,
        failingSince = health.failingSince,
        failures = health.failures,
        refusing = health.refusing,
        received = health.report?.received,
        reportedAt = health.reportedAt,
    )

    private companion object {
        val INTERVAL = 100.milliseconds

        /** Time for the first reports of all members after this VM has taken the duty. */
        val SETTLING = 500.milliseconds
    }
}
