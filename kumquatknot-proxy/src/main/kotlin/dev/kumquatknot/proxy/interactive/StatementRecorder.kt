package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.metric.InteractiveMetrics

/**
 * Logs and counts the answers to statements that needed a member. All rejections are logged. Successes are logged up
 * to a limit a second; the next logged line has the number of omitted ones.
 */
internal class StatementRecorder(
    private val environment: NodeEnvironment,
    private val metrics: InteractiveMetrics,
) {
    private var second = -1L
    private var logged = 0
    private var omitted = 0

    fun record(call: StatementCall, reply: SessionReply, facts: RoutingDetails) {
        val rejection = reply.result as? StatementResult.Rejected
        metrics.statementEnded(call.route, rejection?.code, environment.now() - call.startedAt, facts.waited)
        if (rejection != null) {
            log(Event.STATEMENT_REJECTED, call, facts, rejection)
        } else if (mayLog()) {
            log(Event.STATEMENT_ANSWERED, call, facts, null)
        }
    }

    private fun mayLog(): Boolean {
        val now = environment.now().inWholeSeconds
        if (now != second) {
            second = now
            logged = 0
        }
        val allowed = logged < MAXIMUM_LOGGED_SUCCESSES
        if (allowed) logged++ else omitted++
        return allowed
    }

    private fun log(event: Event, call: StatementCall, facts: RoutingDetails, rejection: StatementResult.Rejected?) {
        val left = omitted
        omitted = 0
        environment.events.log(
            event,
            "request" to call.request.value,
            "database" to call.route.name,
            "group" to call.route.group.value,
            "access" to call.access.name,
            "member" to facts.member?.value,
            "attempts" to facts.attempts,
            "required" to facts.required?.toString(),
            "proofAgeMs" to facts.proofAge?.inWholeMilliseconds,
            "waitedMs" to facts.waited?.inWholeMilliseconds,
            "tookMs" to (environment.now() - call.startedAt).inWholeMilliseconds,
            "code" to rejection?.code?.name,
            "detail" to rejection?.detail,
            "omitted" to left.takeIf { it > 0 },
        )
    }

    private companion object {
        /**
         * Logged successes a second; a line has some 300 bytes and costs a few per cent of the statement's processor
         * time.
         */
        const val MAXIMUM_LOGGED_SUCCESSES = 50
    }
}
