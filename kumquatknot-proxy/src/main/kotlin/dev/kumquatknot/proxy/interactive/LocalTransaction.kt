package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.interactive.TransactionState
import dev.kumquatknot.proxy.pool.BatchResult
import dev.kumquatknot.proxy.pool.MemberPool
import dev.kumquatknot.proxy.pool.PoolRequest
import dev.kumquatknot.proxy.pool.PooledLink
import kotlin.time.Duration

/**
 * A transaction that this VM runs. The first statement selects its connection, since no member is needed before; the
 * connection then stays the same until the end.
 */
internal class LocalTransaction(
    override val route: InteractiveRoute,
    private val readOnly: Boolean,
    private val group: GroupPools,
    private val environment: NodeEnvironment,
    private val limiter: OperationLimiter,
) : SessionTransaction {
    private val search = MemberSearch(
        replicaAllowed = readOnly && route.consistency != ReadConsistency.CURRENT,
        group = group,
        environment = environment,
    )
    private var pool: MemberPool? = null
    private var link: PooledLink? = null
    private var connectedFor: RequestId? = null
    private var hasWritten = false
    private var cancelRequest: Cancel? = null

    override fun facts(call: StatementCall): RoutingDetails =
        if (call.request == connectedFor) search.facts else search.facts.copy(waited = Duration.ZERO)

    private val member: MemberName? get() = pool?.member?.name

    override var failed: Boolean = false
        private set

    override var failureReported: Boolean = false

    override fun run(call: StatementCall, done: (SessionReply) -> Unit) {
        val connection = link
        val stall = if (call.access == StatementAccess.WRITE) group.describeStall() else null
        when {
            readOnly && call.access == StatementAccess.WRITE ->
                fail(RejectionCode.READ_ONLY, "the transaction only reads", done)
            stall != null -> fail(RejectionCode.ABORTED, stall, done)
            connection == null -> begin(call) { problem ->
                if (problem == null) run(call, done) else fail(problem, done)
            }
            connection.isClosed -> fail(RejectionCode.ABORTED, "the connection to $member has ended", done)
            else -> connection.prepareFor(call.values, call.plan, environment.limits.sessionSetupTimeout) {
                prepared(connection, it, call, done)
            }
        }
    }

    override fun commit(call: StatementCall, done: (SessionReply, HistoryPoint?) -> Unit) {
        val connection = link
        val stall = if (hasWritten) group.describeStall() else null
        when {
            connection == null -> begin(call) { problem ->
                if (problem == null) commit(call, done) else fail(problem) { done(it, null) }
            }
            connection.isClosed -> fail(RejectionCode.ABORTED, "the connection to $member has ended") { done(it, null) }
            stall != null -> fail(RejectionCode.ABORTED, stall) { done(it, null) }
            else -> connection.run(
                listOf(MemberCommand.Commit(call.request, call.text)),
                call.deadline - environment.now(),
            ) { committed(connection, it, call, done) }
        }
    }

    override fun abandon() {
        failed = true
        cancelRequest?.invoke()
        val connection = link ?: return
        link = null
        // A running statement ends first; its result handler then finds the transaction abandoned and rolls back.
        if (!connection.isClosed && !connection.isBusy) rollBack(connection)
    }

    private fun rollBack(connection: PooledLink) {
        group.recordUse()
        connection.memory = connection.memory.copy(uncertain = true)
        pool?.let { connection.rollBackAndRelease(it, environment.limits.sessionSetupTimeout) }
    }

    private fun begin(call: StatementCall, done: (StatementResult.Rejected?) -> Unit) {
        limiter.admit(call) { refusal -> if (refusal == null) findMember(call, done) else done(refusal) }
    }

    private fun findMember(call: StatementCall, done: (StatementResult.Rejected?) -> Unit) {
        if (failed) return
        search.next(call) { result ->
            if (failed) return@next
            when (result) {
                is SearchResult.Found -> offer(result, call, done)
                is SearchResult.Exhausted -> done(StatementResult.Rejected(RejectionCode.BUSY, result.detail))
            }
        }
    }

    private fun offer(found: SearchResult.Found, call: StatementCall, done: (StatementResult.Rejected?) -> Unit) {
        val chosen = found.pool
        val request = PoolRequest(
            item = call.workItem(),
            customer = call.customer,
            granted = { connection, slot ->
                cancelRequest = null
                search.recordGrant(call)
                connectedFor = call.request
                // Statements of a transaction use no slot of the pool; the connection limits them to one at a time.
                slot.release(ran = false, answered = true)
                beginAt(chosen, connection, found.required, call, done)
            },
            refused = {
                cancelRequest = null
                done(StatementResult.Rejected(RejectionCode.BUSY, "member ${chosen.member.name}: $it"))
            },
        )
        cancelRequest = { chosen.cancel(request) }
        chosen.submit(request)
    }

    private fun beginAt(
        chosen: MemberPool,
        connection: PooledLink,
        needed: HistoryPoint?,
        call: StatementCall,
        done: (StatementResult.Rejected?) -> Unit,
    ) {
        val atReplica = needed != null && !group.leads(chosen)
        val begin = MemberCommand.Begin(readOnly = atReplica, after = needed.takeIf { atReplica })
        connection.run(listOf(begin), environment.limits.sessionSetupTimeout) { result ->
            val reply = (result as? BatchResult.Answered)?.replies?.first()
            if (reply != null && reply.isCompleted && failed) {
                // The caller has disconnected meanwhile; nothing else would end the new transaction.
                connection.rollBackAndRelease(chosen, environment.limits.sessionSetupTimeout)
            } else if (reply != null && reply.isCompleted) {
                pool = chosen
                link = connection
                done(null)
            } else {
                if (reply?.state == TransactionState.IDLE) chosen.releaseLink(connection) else connection.close()
                search.exclude(chosen)
                search.scheduleRetry { findMember(call, done) }
            }
        }
    }

    private fun prepared(connection: PooledLink, ready: Boolean, call: StatementCall, done: (SessionReply) -> Unit) {
        when {
            // The caller has disconnected meanwhile; nothing else would end the transaction.
            link !== connection -> rollBack(connection)
            ready -> execute(connection, call, done)
            else -> fail(RejectionCode.ABORTED, "$member took no values", done)
        }
    }

    private fun execute(connection: PooledLink, call: StatementCall, done: (SessionReply) -> Unit) {
        val remaining = (call.deadline - environment.now()).coerceAtLeast(environment.limits.retryDelay)
        connection.run(listOf(call.command(null)), remaining) { result ->
            when (result) {
                is BatchResult.Answered -> {
                    if (call.access == StatementAccess.WRITE) hasWritten = true
                    answered(connection, result.replies.first(), done)
                }
                is BatchResult.Broken -> fail(RejectionCode.ABORTED, "$member: ${result.end}", done)
            }
        }
    }

    private fun answered(connection: PooledLink, reply: MemberReply, done: (SessionReply) -> Unit) {
        when {
            link !== connection -> rollBack(connection)
            reply.isCompleted && reply.state == TransactionState.OPEN ->
                done(SessionReply(reply.rows, reply.result, TransactionState.OPEN))
            reply.isCompleted -> fail(RejectionCode.ABORTED, "$member lost the transaction", done)
            else -> {
                failed = true
                link = null
                rollBack(connection)
                done(SessionReply(emptyList(), reply.result, TransactionState.FAILED))
            }
        }
    }

    private fun committed(
        connection: PooledLink,
        result: BatchResult,
        call: StatementCall,
        done: (SessionReply, HistoryPoint?) -> Unit,
    ) {
        link = null
        when (result) {
            is BatchResult.Broken -> {
                val inDoubt = StatementResult.Rejected(RejectionCode.IN_DOUBT, "$member: ${result.end}")
                done(SessionReply(emptyList(), inDoubt, TransactionState.IDLE), null)
            }

            is BatchResult.Answered -> {
                val reply = result.replies.first()
                if (reply.state == TransactionState.IDLE) pool?.releaseLink(connection) else connection.close()
                val written = reply.point.takeIf { reply.isCompleted && !readOnly }
                if (written == null || !hasWritten) {
                    done(SessionReply(reply.rows, reply.result, TransactionState.IDLE), written)
                } else {
                    confirm(reply, written, call, done)
                }
            }
        }
    }

    private fun confirm(
        reply: MemberReply,
        written: HistoryPoint,
        call: StatementCall,
        done: (SessionReply, HistoryPoint?) -> Unit,
    ) {
        val primary = checkNotNull(member) { "a transaction that has committed has a member" }
        group.confirmer.await(written, primary, call.deadline) { confirmation ->
            val result = reply.result.confirmedBy(confirmation, written)
            val rows = reply.rows.takeIf { result is StatementResult.Completed }.orEmpty()
            done(SessionReply(rows, result, TransactionState.IDLE), written)
        }
    }

    private fun fail(code: RejectionCode, detail: String, done: (SessionReply) -> Unit) =
        fail(StatementResult.Rejected(code, detail), done)

    private fun fail(rejection: StatementResult.Rejected, done: (SessionReply) -> Unit) {
        abandon()
        done(SessionReply(emptyList(), rejection, TransactionState.FAILED))
    }
}
