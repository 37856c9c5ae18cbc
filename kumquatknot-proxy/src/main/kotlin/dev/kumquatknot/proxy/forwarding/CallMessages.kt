package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementPlan
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.interactive.TransactionState
import dev.kumquatknot.proxy.fleet.CallPayload
import dev.kumquatknot.proxy.fleet.OutcomePayload
import dev.kumquatknot.proxy.interactive.RoutingDetails
import dev.kumquatknot.proxy.interactive.StatementCall
import dev.kumquatknot.proxy.interactive.StatementOutcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** Returns the payload of the call. Clocks of VMs differ, so it carries the time since the call's start. */
internal fun StatementCall.toPayload(now: Duration) = CallPayload(
    request = request.value,
    database = route.name,
    customer = customer?.value,
    writes = access == StatementAccess.WRITE,
    planWrites = plan?.let { it.access == StatementAccess.WRITE },
    planShape = plan?.shape,
    text = text,
    values = values,
    lastWrittenTerm = lastWritten?.term?.value,
    lastWrittenPosition = lastWritten?.position?.value,
    elapsedMicros = (now - startedAt).inWholeMicroseconds,
)

/** Returns the call on [route], with its start on the clock of this VM. */
internal fun CallPayload.toCall(route: InteractiveRoute, now: Duration) = StatementCall(
    request = RequestId(request),
    route = route,
    customer = customer?.let(::CustomerName),
    access = accessOf(writes),
    plan = planShape?.let { StatementPlan(accessOf(planWrites ?: writes), it) },
    text = text,
    values = values,
    lastWritten = point(lastWrittenTerm, lastWrittenPosition),
    startedAt = now - elapsedMicros.coerceAtLeast(0).microseconds,
)

/** Returns the payload of the outcome of call [number]. */
internal fun StatementOutcome.toPayload(number: Long): OutcomePayload {
    val result = reply.result
    return OutcomePayload(
        number = number,
        rows = reply.rows,
        signature = (result as? StatementResult.Completed)?.signature,
        code = (result as? StatementResult.Rejected)?.code?.name,
        detail = (result as? StatementResult.Rejected)?.detail,
        state = reply.state.name,
        writtenTerm = written?.term?.value,
        writtenPosition = written?.position?.value,
        member = facts.member?.value,
        attempts = facts.attempts,
        waitedMicros = facts.waited?.inWholeMicroseconds,
    )
}

/** Returns the outcome; of a transaction state that this build does not know, that the transaction has failed. */
internal fun OutcomePayload.toOutcome(): StatementOutcome {
    val code = code
    val result = if (code == null) {
        StatementResult.Completed(signature)
    } else {
        val known = RejectionCode.entries.firstOrNull { it.name == code } ?: RejectionCode.OTHER
        StatementResult.Rejected(known, detail.orEmpty())
    }
    val facts = RoutingDetails(member?.let(::MemberName), attempts, waited = waitedMicros?.microseconds)
    val reached = TransactionState.entries.firstOrNull { it.name == state } ?: TransactionState.FAILED
    return StatementOutcome(SessionReply(rows, result, reached), point(writtenTerm, writtenPosition), facts)
}

/** Returns the outcome of a statement that was rejected by this VM. */
internal fun rejectedOutcome(code: RejectionCode, detail: String, state: TransactionState) =
    StatementOutcome(SessionReply(emptyList(), StatementResult.Rejected(code, detail), state), null, RoutingDetails())

private fun accessOf(writes: Boolean) = if (writes) StatementAccess.WRITE else StatementAccess.READ

private fun point(term: Long?, position: Long?): HistoryPoint? =
    if (term == null || position == null) null else HistoryPoint(Term(term), LogPosition(position))
