package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.TransactionState
import dev.kumquatknot.proxy.fleet.CancelPayload
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.RunPayload
import dev.kumquatknot.proxy.interactive.Cancel
import dev.kumquatknot.proxy.interactive.StatementCall
import dev.kumquatknot.proxy.interactive.StatementOutcome

/**
 * A statement outside a transaction that runs at another VM. Only a read is repeated, at the next VM or here, after it
 * was sent and stayed unanswered.
 */
internal class ForwardedStatement(
    private val call: StatementCall,
    private val traits: OperationTraits,
    private val services: ForwardingServices,
    private val done: (StatementOutcome) -> Unit,
) {
    private val tried = LinkedHashSet<VmName>()
    private var sent: SentRequest? = null
    private var cancelLocal: Cancel? = null
    private var isCancelled = false

    /** Sends the statement to the first VM that can be reached, or runs it here. */
    fun start() {
        if (isCancelled) return
        var vm = services.candidate(traits, tried)
        while (vm != null && !send(vm)) vm = services.candidate(traits, tried)
        if (vm == null) runHere()
    }

    /** Ends the statement without a result. */
    fun cancel() {
        isCancelled = true
        cancelLocal?.invoke()
        val request = sent ?: return
        sent = null
        cancelAt(request)
    }

    private fun cancelAt(request: SentRequest) {
        services.requests.forget(request.number)
        services.network.send(request.vm, PeerMessage(cancel = CancelPayload(request.number)))
    }

    private fun send(vm: VmName): Boolean {
        tried += vm
        val number = services.requests.nextNumber()
        val payload = RunPayload(number, call.toPayload(services.environment.now()))
        val request = SentRequest(vm, number)
        sent = request
        val isAccepted = services.requests.send(vm, number, PeerMessage(run = payload), services.answerDueAt(call)) {
            sent = null
            ended(request, it)
        }
        if (!isAccepted) sent = null
        return isAccepted
    }

    private fun runHere() {
        cancelLocal = services.local.run(call, done)
    }

    private fun ended(request: SentRequest, end: RequestEnd) {
        when (end) {
            is RequestEnd.Answered -> if (end.outcome.notServedHere) runHere() else done(end.outcome.toOutcome())
            is RequestEnd.NotSent -> start()
            is RequestEnd.Unanswered -> unanswered(request, end.detail)
        }
    }

    private fun unanswered(request: SentRequest, detail: String) {
        val isLate = services.environment.now() >= call.deadline
        when {
            call.access == StatementAccess.WRITE -> reject(RejectionCode.IN_DOUBT, detail)
            isLate -> reject(RejectionCode.TIMED_OUT, detail)
            else -> start()
        }
        if (isLate) cancelAt(request)
    }

    private fun reject(code: RejectionCode, detail: String) =
        done(rejectedOutcome(code, detail, TransactionState.IDLE))

    private class SentRequest(val vm: VmName, val number: Long)
}
