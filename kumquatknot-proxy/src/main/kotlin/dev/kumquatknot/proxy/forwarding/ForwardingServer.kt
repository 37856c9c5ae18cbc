package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.interactive.TransactionState
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.fleet.CallPayload
import dev.kumquatknot.proxy.fleet.OutcomePayload
import dev.kumquatknot.proxy.fleet.PeerListener
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.PeerNetwork
import dev.kumquatknot.proxy.fleet.PongPayload
import dev.kumquatknot.proxy.fleet.RunPayload
import dev.kumquatknot.proxy.fleet.TransactionStatementPayload
import dev.kumquatknot.proxy.interactive.Cancel
import dev.kumquatknot.proxy.interactive.NodeEnvironment
import dev.kumquatknot.proxy.interactive.OperationExecutor
import dev.kumquatknot.proxy.interactive.SessionTransaction
import dev.kumquatknot.proxy.interactive.StatementOutcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Serves the operations of other VMs with [executor] and this VM's own [configuration]. Has to be added to [network] as
 * a listener.
 *
 * @param takesOperations whether new operations are served; a VM that leaves only finishes the open ones.
 * @param dropLink drops the link to a VM that cannot be answered, so that it doesn't wait in vain.
 */
internal class ForwardingServer(
    private val executor: OperationExecutor,
    private val network: PeerNetwork,
    private val environment: NodeEnvironment,
    private val configuration: () -> InteractiveConfiguration,
    private val takesOperations: () -> Boolean,
    private val dropLink: (VmName) -> Unit,
) : PeerListener {
    private val callers = HashMap<VmName, Caller>()
    private var isInterrupted = false
    private val watches = SilenceWatches(network, environment, PING_AFTER, DROP_AFTER_PING, dropLink, ::disconnected)

    /** Number of statements that run or wait and of transactions that are open. */
    val openOperations: Int get() = callers.values.sumOf { it.running.size + it.transactions.size }

    override fun received(vm: VmName, message: PeerMessage) {
        watches.recordSign(vm)
        message.run?.let { run(vm, it) }
        message.transaction?.let { runInTransaction(vm, it) }
        message.cancel?.let { cancel(vm, it.number) }
        message.abandon?.let { abandon(vm, it.transaction) }
        message.ping?.let { network.send(vm, PeerMessage(pong = PongPayload(it.number))) }
    }

    override fun disconnected(vm: VmName) {
        watches.remove(vm)
        val caller = callers.remove(vm) ?: return
        caller.isLost = true
        caller.running.values.toList().forEach { it() }
        caller.transactions.values.toList().forEach { it.abandon() }
    }

    /** Rolls back the open transactions, those that run a statement after its answer. */
    fun interruptTransactions() {
        isInterrupted = true
        callers.keys.toList().forEach { vm ->
            val idle = callers[vm]?.transactions.orEmpty().filterValues { !it.isServing }
            idle.keys.forEach { abandon(vm, it) }
        }
    }

    private fun run(vm: VmName, payload: RunPayload) {
        val route = admittedRoute(payload.call) ?: return refuse(vm, payload.number)
        val caller = callerOf(vm)
        if (payload.number in caller.running) return
        var isAnswered = false
        val cancel = executor.run(payload.call.toCall(route, environment.now())) { outcome ->
            isAnswered = true
            caller.running.remove(payload.number)
            answer(caller, payload.number, outcome, codeIfTooLarge(payload.call.writes, RejectionCode.FAILED))
            endWatchIfIdle(caller)
        }
        if (!isAnswered) caller.running[payload.number] = cancel
        endWatchIfIdle(caller)
    }

    private fun runInTransaction(vm: VmName, payload: TransactionStatementPayload) {
        val caller = callerOf(vm)
        var open = caller.transactions[payload.transaction]
        if (open == null && payload.begins) {
            val route = admittedRoute(payload.call) ?: return refuse(vm, payload.number).also { endWatchIfIdle(caller) }
            open = ServedTransaction(executor.begin(route, payload.readOnly), environment)
            caller.transactions[payload.transaction] = open
        }
        if (open == null || open.isServing) {
            abandon(vm, payload.transaction)
            val outcome = rejectedOutcome(RejectionCode.ABORTED, "the transaction is not open", TransactionState.FAILED)
            return answer(caller, payload.number, outcome, RejectionCode.ABORTED)
        }
        open.run(payload) { outcome ->
            if (outcome.reply.state != TransactionState.OPEN) caller.transactions.remove(payload.transaction)
            answer(caller, payload.number, outcome, codeIfTooLarge(payload.commits, RejectionCode.ABORTED)) {
                abandon(caller, payload.transaction)
            }
            if (isInterrupted) {
                abandon(caller, payload.transaction)
            } else {
                open.startIdleTimer(configuration().transactionIdle) { abandon(caller, payload.transaction) }
            }
            endWatchIfIdle(caller)
        }
    }

    private fun codeIfTooLarge(mayHaveWritten: Boolean, otherwise: RejectionCode) =
        if (mayHaveWritten) RejectionCode.IN_DOUBT else otherwise

    private fun cancel(vm: VmName, number: Long) {
        val caller = callers[vm] ?: return
        caller.running.remove(number)?.invoke()
        endWatchIfIdle(caller)
    }

    private fun abandon(vm: VmName, transaction: Long) {
        callers[vm]?.let { abandon(it, transaction) }
    }

    private fun abandon(caller: Caller, transaction: Long) {
        caller.transactions.remove(transaction)?.abandon()
        endWatchIfIdle(caller)
    }

    /** Returns the route for a new operation; null if this VM does not serve it. */
    private fun admittedRoute(call: CallPayload): InteractiveRoute? {
        val current = configuration()
        val customers = current.customers
        val customer = call.customer?.let(::CustomerName)
        return current.routes[call.database]?.takeIf { route ->
            val isAdmitted = when {
                customer != null -> customers[customer]?.keys.orEmpty().isNotEmpty()
                else -> customers.isEmpty || route.isPublic
            }
            isAdmitted && takesOperations()
        }
    }

    private fun refuse(vm: VmName, number: Long) {
        network.send(vm, PeerMessage(outcome = OutcomePayload(number = number, notServedHere = true)))
    }

    /**
     * Answers [caller], unless the link on which it asked was lost: a process that has the link of that name now did
     * not ask, and may have given the same number to a request of its own.
     *
     * An outcome that is too large for the link is replaced by one with [codeIfTooLarge], without rows, since the other
     * VM would wait in vain. If even that cannot be sent, the loss of the link tells it.
     */
    private fun answer(
        caller: Caller,
        number: Long,
        outcome: StatementOutcome,
        codeIfTooLarge: RejectionCode,
        onReplaced: () -> Unit = {},
    ) {
        val vm = caller.vm
        if (caller.isLost) {
            val result = outcome.reply.result
            return environment.events.log(
                Event.FORWARDED_ANSWER_DROPPED,
                "peer" to vm.value,
                "number" to number,
                "member" to outcome.facts.member?.value,
                "code" to (result as? StatementResult.Rejected)?.code?.name,
            )
        }
        if (network.send(vm, PeerMessage(outcome = outcome.toPayload(number)))) return
        onReplaced()
        val state = if (outcome.reply.state == TransactionState.IDLE) TransactionState.IDLE else TransactionState.FAILED
        val replacement = rejectedOutcome(codeIfTooLarge, "the answer is too large to be forwarded", state)
        if (!network.send(vm, PeerMessage(outcome = replacement.toPayload(number)))) dropLink(vm)
    }

    private fun callerOf(vm: VmName): Caller {
        val caller = callers.getOrPut(vm) { Caller(vm) }
        if (caller.endWatch == null) caller.endWatch = watches.watch(vm)
        return caller
    }

    private fun endWatchIfIdle(caller: Caller) {
        if (caller.running.isNotEmpty() || caller.transactions.isNotEmpty()) return
        caller.endWatch?.invoke()
        caller.endWatch = null
    }

    /** What runs here for one process of [vm], by the numbers that it gave. */
    private class Caller(val vm: VmName) {
        val running = HashMap<Long, Cancel>()
        val transactions = HashMap<Long, ServedTransaction>()
        var endWatch: Cancel? = null

        /** Whether the link to the process was lost. */
        var isLost = false
    }

    private companion object {
        /**
         * Time without a message after which a VM that has open operations here is pinged. A lost VM normally closes
         * its link; this detects one that vanished without, whose transactions would hold locks until they are idle for
         * too long.
         */
        val PING_AFTER = 1.seconds

        /** Time from the ping until the link is dropped. */
        val DROP_AFTER_PING = 500.milliseconds
    }
}

/** An open transaction of another VM. */
private class ServedTransaction(
    private val transaction: SessionTransaction,
    private val environment: NodeEnvironment,
) {
    private var idleTimer: Cancel? = null
    private var hasEnded = false

    /** Whether a statement runs. */
    var isServing = false
        private set

    /** Runs the statement of [payload]. */
    fun run(payload: TransactionStatementPayload, done: (StatementOutcome) -> Unit) {
        idleTimer?.invoke()
        isServing = true
        val call = payload.call.toCall(transaction.route, environment.now())
        val ended = { outcome: StatementOutcome ->
            isServing = false
            if (outcome.reply.state != TransactionState.OPEN) hasEnded = true
            done(outcome)
        }
        if (payload.commits) {
            transaction.commit(call) { reply, point -> ended(StatementOutcome(reply, point, transaction.facts(call))) }
        } else {
            transaction.run(call) { ended(StatementOutcome(it, null, transaction.facts(call))) }
        }
    }

    /** Calls [onIdle] after [limit] without a statement, unless the transaction has ended. */
    fun startIdleTimer(limit: Duration, onIdle: () -> Unit) {
        if (!hasEnded && limit.isFinite()) idleTimer = environment.schedule(limit, onIdle)
    }

    /** Rolls the transaction back. */
    fun abandon() {
        hasEnded = true
        idleTimer?.invoke()
        transaction.abandon()
    }
}
