package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.TransactionState
import dev.kumquatknot.proxy.fleet.AbandonPayload
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.TransactionStatementPayload
import dev.kumquatknot.proxy.interactive.RoutingDetails
import dev.kumquatknot.proxy.interactive.SessionTransaction
import dev.kumquatknot.proxy.interactive.StatementCall

/**
 * A transaction that runs at another VM, its home VM, or here. The first statement selects the place, which then stays
 * the same until the end.
 */
internal class ForwardedTransaction(
    override val route: InteractiveRoute,
    private val readOnly: Boolean,
    private val traits: OperationTraits,
    private val services: ForwardingServices,
) : SessionTransaction {
    private val number = services.requests.nextNumber()
    private val tried = LinkedHashSet<VmName>()
    private var here: SessionTransaction? = null
    private var home: VmName? = null
    private var awaited: Long? = null
    private var details = RoutingDetails()
    private var hasFailed = false

    override val failed: Boolean get() = here?.failed ?: hasFailed

    override var failureReported: Boolean = false

    override fun facts(call: StatementCall): RoutingDetails = here?.facts(call) ?: details

    override fun run(call: StatementCall, done: (SessionReply) -> Unit) =
        serve(Statement(call, commits = false) { reply, _ -> done(reply) })

    override fun commit(call: StatementCall, done: (SessionReply, HistoryPoint?) -> Unit) =
        serve(Statement(call, commits = true, done))

    override fun abandon() {
        hasFailed = true
        here?.abandon()
        awaited?.let(services.requests::forget)
        awaited = null
        val vm = home ?: return
        release()
        services.network.send(vm, PeerMessage(abandon = AbandonPayload(number)))
    }

    /** Fails the transaction, as the link to its home VM was lost, which rolls it back then. */
    fun homeLost() {
        if (home == null) return
        home = null
        hasFailed = true
    }

    private fun serve(statement: Statement) {
        val vm = home
        when {
            here != null -> serveHere(statement)
            hasFailed -> fail(statement, "the home VM of the transaction was lost")
            vm == null -> begin(statement)
            !send(vm, statement, begins = false) -> {
                abandon()
                fail(statement, "VM $vm cannot be reached")
            }
        }
    }

    private fun begin(statement: Statement) {
        if (hasFailed) return
        var vm = services.candidate(traits, tried)
        while (vm != null && !beginAt(vm, statement)) vm = services.candidate(traits, tried)
        if (vm == null) beginHere(statement)
    }

    private fun beginAt(vm: VmName, statement: Statement): Boolean {
        tried += vm
        home = vm
        services.onOpen(vm, this)
        return send(vm, statement, begins = true).also { if (!it) release() }
    }

    private fun beginHere(statement: Statement) {
        here = services.local.begin(route, readOnly)
        serveHere(statement)
    }

    private fun serveHere(statement: Statement) {
        val transaction = checkNotNull(here) { "the transaction does not run here" }
        if (statement.commits) {
            transaction.commit(statement.call, statement.done)
        } else {
            transaction.run(statement.call) { statement.done(it, null) }
        }
    }

    private fun send(vm: VmName, statement: Statement, begins: Boolean): Boolean {
        val request = services.requests.nextNumber()
        awaited = request
        val call = statement.call
        val payload = call.toPayload(services.environment.now())
        val message = PeerMessage(
            transaction = TransactionStatementPayload(request, number, readOnly, statement.commits, payload, begins),
        )
        val isAccepted = services.requests.send(vm, request, message, services.answerDueAt(call)) { end ->
            awaited = null
            ended(end, statement, begins)
        }
        if (!isAccepted) awaited = null
        return isAccepted
    }

    private fun ended(end: RequestEnd, statement: Statement, begins: Boolean) {
        when (end) {
            is RequestEnd.Answered -> if (end.outcome.notServedHere && begins) {
                release()
                beginHere(statement)
            } else {
                answered(end, statement)
            }
            is RequestEnd.NotSent -> if (begins) {
                release()
                begin(statement)
            } else {
                abandon()
                fail(statement, "the statement could not be sent to the home VM")
            }
            is RequestEnd.Unanswered -> unanswered(end.detail, statement)
        }
    }

    private fun answered(end: RequestEnd.Answered, statement: Statement) {
        val outcome = end.outcome.toOutcome()
        details = outcome.facts
        // The home VM holds nothing of a transaction that has ended or failed.
        if (outcome.reply.state != TransactionState.OPEN) release()
        if (outcome.reply.state == TransactionState.FAILED) hasFailed = true
        statement.done(outcome.reply, outcome.written)
    }

    private fun unanswered(detail: String, statement: Statement) {
        abandon()
        if (statement.commits) {
            val inDoubt = rejectedOutcome(RejectionCode.IN_DOUBT, detail, TransactionState.IDLE)
            statement.done(inDoubt.reply, null)
        } else {
            fail(statement, detail)
        }
    }

    private fun fail(statement: Statement, detail: String) {
        hasFailed = true
        statement.done(rejectedOutcome(RejectionCode.ABORTED, detail, TransactionState.FAILED).reply, null)
    }

    private fun release() {
        home?.let { services.onEnd(it, this) }
        home = null
    }

    private class Statement(
        val call: StatementCall,
        val commits: Boolean,
        val done: (SessionReply, HistoryPoint?) -> Unit,
    )
}
