package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.customer.CallerKey
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.SessionState
import dev.kumquatknot.core.interactive.SessionStatement
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementPlan
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.interactive.TransactionState
import kotlin.time.Duration

/**
 * One session of a caller: its values, its prepared statements, its open transaction, and the newest point that it has
 * written. Statements are served one at a time. Values and plans are kept here, independent of the serving member.
 */
public class InteractiveSession internal constructor(
    private val database: String,
    private val key: CallerKey?,
    private val peer: SessionPeer,
    private val services: SessionServices,
) {
    private val environment = services.environment
    private val queuedStatements = ArrayDeque<Pair<RequestId, SessionStatement>>()
    private var memory = SessionState()
    private var transaction: SessionTransaction? = null
    private var transactionCustomer: CustomerName? = null
    private var running: RunningStatement? = null
    private var isServingQueued = false
    private var isClosing = false
    private var lastWritten: HistoryPoint? = null
    private var ended = false
    private var idleTimer: Cancel? = null

    /** Whether a statement is being served. */
    public var isServing: Boolean = false
        private set

    /** Whether no statement is being served or queued and no transaction is open, so that closing loses no work. */
    public val isIdle: Boolean get() = !isServing && queuedStatements.isEmpty() && transaction == null

    /** Queues [statement]; statements are served in the order of submission. */
    public fun submit(request: RequestId, statement: SessionStatement) {
        queuedStatements.addLast(request to statement)
        serveQueued()
    }

    /** Ends the session after its caller disconnected; an open transaction is rolled back. */
    public fun disconnected() {
        if (ended) return
        ended = true
        idleTimer?.invoke()
        queuedStatements.clear()
        running?.cancel?.invoke()
        transaction?.abandon()
        transaction = null
        services.onEnd(this)
    }

    /** Closes the session from the proxy's side. This loses no work only while [isIdle]. */
    public fun close() {
        if (ended) return
        peer.close()
        disconnected()
    }

    /** Rolls back an open transaction unless it runs a statement; its next statement fails. */
    public fun interruptTransaction() {
        if (!isServing) transaction?.abandon()
    }

    /**
     * Closes the session after an answer to each of its statements. One that runs, whose outcome is not awaited, is in
     * doubt if it may have written, and rejected otherwise.
     */
    public fun end() {
        interruptTransaction()
        running?.let(::endRunning)
        close()
    }

    private fun endRunning(statement: RunningStatement) {
        statement.cancel?.invoke()
        val result = StatementResult.Rejected(statement.codeIfEnded, "the VM stops before the outcome is known")
        if (statement.codeIfEnded == RejectionCode.IN_DOUBT) transaction = null else transaction?.abandon()
        answer(statement.call, SessionReply(emptyList(), result, state()), RoutingDetails())
    }

    /**
     * Serves what is queued, up to a statement that has to wait for its answer. A loop, since recursion would exceed
     * the stack: the caller chooses the number of statements that are answered at once.
     */
    private fun serveQueued() {
        if (isServingQueued) return
        isServingQueued = true
        try {
            while (!isServing && !ended) {
                val (request, statement) = queuedStatements.removeFirstOrNull() ?: break
                serve(request, statement)
            }
        } finally {
            isServingQueued = false
        }
        if (isClosing && !isServing) close()
    }

    private fun serve(request: RequestId, statement: SessionStatement) {
        isServing = true
        idleTimer?.invoke()
        val open = transaction
        if (open != null && open.failed) return serveFailed(request, statement, open)
        when (statement) {
            is SessionStatement.Begin -> begin(statement)
            is SessionStatement.Commit -> commit(request, statement)
            is SessionStatement.Rollback -> rollBack()
            is SessionStatement.Run -> run(request, statement.access, null, statement.text)
            is SessionStatement.Execute -> execute(request, statement)
            is SessionStatement.SetValue -> updateMemory(memory.with(statement))
            is SessionStatement.Prepare -> updateMemory(memory.with(statement))
            is SessionStatement.Deallocate -> deallocate(statement.name)
            is SessionStatement.Malformed -> reject(statement.code, statement.detail)
        }
    }

    private fun serveFailed(request: RequestId, statement: SessionStatement, open: SessionTransaction) {
        when (statement) {
            is SessionStatement.Rollback -> rollBack()
            is SessionStatement.Commit -> {
                transaction = null
                reject(RejectionCode.ABORTED, "the transaction was rolled back")
            }

            else -> {
                val code = if (open.failureReported) RejectionCode.MALFORMED else RejectionCode.ABORTED
                open.failureReported = true
                reject(code, "the transaction of request $request has failed; only its end is accepted")
            }
        }
    }

    private fun begin(statement: SessionStatement.Begin) {
        if (transaction != null) {
            transaction?.abandon()
            return reject(RejectionCode.MALFORMED, "a transaction is open")
        }
        val (route, customer) = admitted() ?: return
        transaction = services.executor().begin(route, statement.readOnly)
        transactionCustomer = customer
        complete()
    }

    private fun commit(request: RequestId, statement: SessionStatement.Commit) {
        val open = transaction ?: return reject(RejectionCode.MALFORMED, "no transaction is open")
        val call = call(request, open.route, transactionCustomer, StatementAccess.READ, null, statement.text)
        running = RunningStatement(call, RejectionCode.IN_DOUBT)
        open.commit(call) { reply, written ->
            if (reply.state == TransactionState.IDLE) transaction = null
            written?.let(::recordWrite)
            answer(call, reply, open.facts(call))
        }
    }

    private fun rollBack() {
        val open = transaction ?: return reject(RejectionCode.MALFORMED, "no transaction is open")
        open.abandon()
        transaction = null
        complete()
    }

    private fun execute(request: RequestId, statement: SessionStatement.Execute) {
        val plan = memory.plans[statement.name]
            ?: return reject(RejectionCode.UNKNOWN_PLAN, "no statement is prepared as ${statement.name}")
        run(request, plan.access, plan, statement.arguments)
    }

    private fun deallocate(name: String) {
        if (name !in memory.plans) return reject(RejectionCode.UNKNOWN_PLAN, "no statement is prepared as $name")
        updateMemory(memory.without(name))
    }

    private fun run(request: RequestId, access: StatementAccess, plan: StatementPlan?, text: String) {
        val open = transaction
        if (open != null) {
            val call = call(request, open.route, transactionCustomer, access, plan, text)
            running = RunningStatement(call, RejectionCode.ABORTED)
            open.run(call) { answer(call, it, open.facts(call)) }
            return
        }
        val (route, customer) = admitted() ?: return
        val call = call(request, route, customer, access, plan, text)
        val codeIfEnded = if (access == StatementAccess.WRITE) RejectionCode.IN_DOUBT else RejectionCode.ABORTED
        val statement = RunningStatement(call, codeIfEnded)
        running = statement
        statement.cancel = services.executor().run(call) { outcome ->
            outcome.written?.let(::recordWrite)
            answer(call, outcome.reply, outcome.facts)
        }
    }

    /**
     * Returns the route in force and the customer of the caller. Otherwise rejects the statement and returns null.
     * Without a route, or if the caller's key is no longer valid, the session is closed once all is answered.
     */
    private fun admitted(): Pair<InteractiveRoute, CustomerName?>? {
        if (services.isInterrupted()) {
            reject(RejectionCode.BUSY, "the VM stops")
            return null
        }
        val route = services.route(database)
        when (val admission = route?.let { services.admission(it, key) }) {
            is CallerAdmission.Admitted -> return route to admission.customer
            is CallerAdmission.UnknownKey -> reject(RejectionCode.UNAUTHENTICATED, "the key is not known")
            is CallerAdmission.UnconfirmedKey -> {
                reject(RejectionCode.UNAUTHENTICATED, "the key cannot be confirmed while the store does not answer")
                return null
            }
            null -> reject(RejectionCode.UNKNOWN_DATABASE, "no database is called $database")
        }
        isClosing = true
        return null
    }

    /** Closes the session if it is idle and the caller's key is no longer valid. */
    internal fun closeIfKeyWithdrawn() {
        val route = services.route(database) ?: return
        if (isIdle && services.admission(route, key) is CallerAdmission.UnknownKey) close()
    }

    private fun call(
        request: RequestId,
        route: InteractiveRoute,
        customer: CustomerName?,
        access: StatementAccess,
        plan: StatementPlan?,
        text: String,
    ) = StatementCall(request, route, customer, access, plan, text, memory.values, lastWritten, environment.now())

    private fun recordWrite(point: HistoryPoint) {
        if (lastWritten?.let { point > it } ?: true) lastWritten = point
    }

    private fun updateMemory(next: SessionState) {
        memory = next
        complete()
    }

    private fun complete() = send(SessionReply(emptyList(), StatementResult.Completed(null), state()))

    private fun reject(code: RejectionCode, detail: String) =
        send(SessionReply(emptyList(), StatementResult.Rejected(code, detail), state()))

    private fun answer(call: StatementCall, reply: SessionReply, facts: RoutingDetails) {
        services.onAnswer(call, reply, facts)
        send(reply)
    }

    private fun state(): TransactionState {
        val open = transaction ?: return TransactionState.IDLE
        return if (open.failed) TransactionState.FAILED else TransactionState.OPEN
    }

    private fun send(reply: SessionReply) {
        if (ended) return
        isServing = false
        running = null
        if (reply.state == TransactionState.FAILED) transaction?.failureReported = true
        peer.reply(reply)
        if (services.isInterrupted()) {
            transaction?.abandon()
        } else if (transaction?.failed == false) {
            startIdleTimer()
        }
        services.onReply(this)
        serveQueued()
    }

    private fun startIdleTimer() {
        val limit = services.transactionIdle()
        if (limit == Duration.INFINITE) return
        idleTimer = environment.schedule(limit) { transaction?.abandon() }
    }

    /**
     * A statement that waits for its outcome.
     *
     * @property codeIfEnded how it is rejected if the session ends first.
     */
    private class RunningStatement(val call: StatementCall, val codeIfEnded: RejectionCode) {
        /** Cancels the statement; null within a transaction, which is rolled back instead. */
        var cancel: Cancel? = null
    }
}
