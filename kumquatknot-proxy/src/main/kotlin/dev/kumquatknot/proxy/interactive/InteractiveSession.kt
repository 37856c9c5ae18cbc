package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.SessionState
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.SessionStatement
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementPlan
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.interactive.TransactionState
import kotlin.time.Duration

/**
 * One session of a caller: its values, its prepared statements, its open transaction, and the newest point that it has
 * written. Statements are served one after the other; values and plans stay here, whichever member serves.
 */
public class InteractiveSession internal constructor(
    private val database: String,
    private val peer: SessionPeer,
    private val services: SessionServices,
) {
    private val environment = services.environment
    private val waiting = ArrayDeque<Pair<RequestId, SessionStatement>>()
    private var memory = SessionState()
    private var transaction: SessionTransaction? = null
    private var own: HistoryPoint? = null
    private var ended = false
    private var idleTimer: Cancel? = null

    /** Whether a statement is being served. */
    public var isServing: Boolean = false
        private set

    /** Whether no statement is served and no transaction open, so that a close harms nothing. */
    public val isIdle: Boolean get() = !isServing && waiting.isEmpty() && transaction == null

    /** Serves [statement] after those that came before it. */
    public fun submit(request: RequestId, statement: SessionStatement) {
        waiting.addLast(request to statement)
        if (!isServing) serveNext()
    }

    /** Ends the session, as its caller has left; an open transaction is rolled back. */
    public fun disconnected() {
        if (ended) return
        ended = true
        idleTimer?.invoke()
        waiting.clear()
        transaction?.abandon()
        transaction = null
        services.onEnd(this)
    }

    /** Ends the session from this side; only what [isIdle] allows it without harm. */
    public fun close() {
        if (ended) return
        peer.close()
        disconnected()
    }

    /** Rolls an open transaction back, which fails from its next statement on. */
    public fun interruptTransaction() {
        transaction?.abandon()
    }

    private fun serveNext() {
        val (request, statement) = waiting.removeFirstOrNull() ?: return
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
            is SessionStatement.SetValue -> remember(memory.with(statement))
            is SessionStatement.Prepare -> remember(memory.with(statement))
            is SessionStatement.Deallocate -> deallocate(statement.name)
            is SessionStatement.Malformed -> reject(RejectionCode.MALFORMED, statement.detail)
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
                val code = if (open.reported) RejectionCode.MALFORMED else RejectionCode.ABORTED
                open.reported = true
                reject(code, "the transaction of request $request has failed; only its end is accepted")
            }
        }
    }

    private fun begin(statement: SessionStatement.Begin) {
        if (transaction != null) {
            transaction?.abandon()
            return reject(RejectionCode.MALFORMED, "a transaction is open")
        }
        val route = route() ?: return
        val group = services.group(route.group)
        transaction = SessionTransaction(route, statement.readOnly, group, environment)
        complete()
    }

    private fun commit(request: RequestId, statement: SessionStatement.Commit) {
        val open = transaction ?: return reject(RejectionCode.MALFORMED, "no transaction is open")
        val call = call(request, open.route, StatementAccess.READ, null, statement.text)
        open.commit(call) { reply, written ->
            if (reply.state == TransactionState.IDLE) transaction = null
            written?.let(::wrote)
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
        remember(memory.without(name))
    }

    private fun run(request: RequestId, access: StatementAccess, plan: StatementPlan?, text: String) {
        val open = transaction
        if (open != null) {
            val call = call(request, open.route, access, plan, text)
            open.run(call) { answer(call, it, open.facts(call)) }
            return
        }
        val route = route() ?: return
        val call = call(request, route, access, plan, text)
        SingleStatement(call, services.group(route.group), environment) { outcome ->
            outcome.written?.let(::wrote)
            answer(call, outcome.reply, outcome.facts)
        }.start()
    }

    /** Returns the route in force; without one the session cannot go on. */
    private fun route(): InteractiveRoute? {
        val route = services.route(database)
        if (route == null) {
            reject(RejectionCode.UNKNOWN_DATABASE, "no database is called $database")
            close()
        }
        return route
    }

    private fun call(
        request: RequestId,
        route: InteractiveRoute,
        access: StatementAccess,
        plan: StatementPlan?,
        text: String,
    ) = StatementCall(request, route, access, plan, text, memory.values, own, environment.now())

    private fun wrote(point: HistoryPoint) {
        if (own?.let { point > it } ?: true) own = point
    }

    private fun remember(next: SessionState) {
        memory = next
        complete()
    }

    private fun complete() = send(SessionReply(emptyList(), StatementResult.Completed(null), state()))

    private fun reject(code: RejectionCode, detail: String) =
        send(SessionReply(emptyList(), StatementResult.Rejected(code, detail), state()))

    private fun answer(call: StatementCall, reply: SessionReply, facts: AnswerFacts) {
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
        if (reply.state == TransactionState.FAILED) transaction?.reported = true
        peer.reply(reply)
        if (transaction?.failed == false) startIdleTimer()
        services.onReply(this)
        if (!ended) serveNext()
    }

    private fun startIdleTimer() {
        val limit = services.transactionIdle()
        if (limit == Duration.INFINITE) return
        idleTimer = environment.schedule(limit) { transaction?.abandon() }
    }
}
