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
import kotlin.time.Duration

/**
 * An interactive transaction of one session. Its connection is chosen by the first statement, since nothing needs a
 * member before, and stays the same until the end.
 */
internal class SessionTransaction(
    val route: InteractiveRoute,
    private val readOnly: Boolean,
    private val group: GroupLanes,
    private val environment: NodeEnvironment,
) {
    private val search = MemberSearch(
        flexible = readOnly && route.consistency != ReadConsistency.CURRENT,
        group = group,
        environment = environment,
    )
    private var lane: MemberLane? = null
    private var link: PooledLink? = null
    private var connectedFor: RequestId? = null

    /** What decided where [call] ran; a statement that found the connection there did not wait for it. */
    fun facts(call: StatementCall): AnswerFacts =
        if (call.request == connectedFor) search.facts else search.facts.copy(waited = Duration.ZERO)

    private val member: MemberName? get() = lane?.member?.name

    /** Whether a statement has failed, so that only the end is left. */
    var failed: Boolean = false
        private set

    /** Whether the session was told that the transaction has failed. */
    var reported: Boolean = false

    /** Runs [call] in the transaction. */
    fun run(call: StatementCall, done: (SessionReply) -> Unit) {
        val open = link
        when {
            readOnly && call.access == StatementAccess.WRITE ->
                fail(RejectionCode.READ_ONLY, "the transaction only reads", done)
            open == null -> begin(call) { problem -> if (problem == null) run(call, done) else fail(problem, done) }
            open.isClosed -> fail(RejectionCode.ABORTED, "the connection to $member has ended", done)
            else -> open.prepareFor(call.values, call.plan, environment.limits.settling) {
                prepared(open, it, call, done)
            }
        }
    }

    /** Commits; [done] gets the reply and the point of the commit, where it succeeded. */
    fun commit(call: StatementCall, done: (SessionReply, HistoryPoint?) -> Unit) {
        val open = link
        when {
            open == null -> begin(call) { problem ->
                if (problem == null) commit(call, done) else fail(problem) { done(it, null) }
            }
            open.isClosed -> fail(RejectionCode.ABORTED, "the connection to $member has ended") { done(it, null) }
            else -> open.run(listOf(MemberCommand.Commit(call.request, call.text)), call.deadline - environment.now()) {
                committed(open, it, done)
            }
        }
    }

    /** Rolls back whatever was done, without waiting for the member. */
    fun abandon() {
        failed = true
        val open = link ?: return
        link = null
        // A statement under way ends first; its result finds the transaction abandoned and rolls back.
        if (!open.isClosed && !open.isBusy) rollBack(open)
    }

    private fun rollBack(open: PooledLink) {
        open.memory = open.memory.copy(uncertain = true)
        lane?.let { open.rollBackInto(it, environment.limits.settling) }
    }

    private fun begin(call: StatementCall, done: (StatementResult.Rejected?) -> Unit) {
        if (failed) return
        search.next(call) { result ->
            when (result) {
                is SearchResult.Found -> offer(result, call, done)
                is SearchResult.Exhausted -> done(StatementResult.Rejected(RejectionCode.BUSY, result.detail))
            }
        }
    }

    private fun offer(found: SearchResult.Found, call: StatementCall, done: (StatementResult.Rejected?) -> Unit) {
        val chosen = found.lane
        chosen.submit(
            LaneWork(
                item = call.workItem(),
                granted = { open, slot ->
                    search.granted(call)
                    connectedFor = call.request
                    // The statements of a transaction go on without a slot of the lane; the connection bounds them.
                    slot.end(ran = false, answered = true)
                    open(chosen, open, found.required, call, done)
                },
                refused = { done(StatementResult.Rejected(RejectionCode.BUSY, "member ${chosen.member.name}: $it")) },
            ),
        )
    }

    private fun open(
        chosen: MemberLane,
        open: PooledLink,
        needed: HistoryPoint?,
        call: StatementCall,
        done: (StatementResult.Rejected?) -> Unit,
    ) {
        val atReplica = needed != null && !group.leads(chosen)
        val begin = MemberCommand.Begin(readOnly = atReplica, after = needed.takeIf { atReplica })
        open.run(listOf(begin), environment.limits.settling) { result ->
            val reply = (result as? BatchResult.Answered)?.replies?.first()
            if (reply != null && reply.isCompleted && failed) {
                // The caller has left meanwhile; nothing else would end what has just begun.
                open.rollBackInto(chosen, environment.limits.settling)
            } else if (reply != null && reply.isCompleted) {
                lane = chosen
                link = open
                done(null)
            } else {
                if (reply?.state == TransactionState.IDLE) chosen.putBack(open) else open.close()
                search.exclude(chosen)
                search.later { begin(call, done) }
            }
        }
    }

    private fun prepared(open: PooledLink, ready: Boolean, call: StatementCall, done: (SessionReply) -> Unit) {
        when {
            // The caller has left meanwhile; nothing else would end the transaction.
            link !== open -> rollBack(open)
            ready -> execute(open, call, done)
            else -> fail(RejectionCode.ABORTED, "$member took no values", done)
        }
    }

    private fun execute(open: PooledLink, call: StatementCall, done: (SessionReply) -> Unit) {
        val left = (call.deadline - environment.now()).coerceAtLeast(environment.limits.retryPause)
        open.run(listOf(call.command(null)), left) { result ->
            when (result) {
                is BatchResult.Answered -> answered(open, result.replies.first(), done)
                is BatchResult.Broken -> fail(RejectionCode.ABORTED, "$member: ${result.end}", done)
            }
        }
    }

    private fun answered(open: PooledLink, reply: MemberReply, done: (SessionReply) -> Unit) {
        when {
            link !== open -> rollBack(open)
            reply.isCompleted && reply.state == TransactionState.OPEN ->
                done(SessionReply(reply.rows, reply.result, TransactionState.OPEN))
            reply.isCompleted -> fail(RejectionCode.ABORTED, "$member lost the transaction", done)
            else -> {
                failed = true
                link = null
                rollBack(open)
                done(SessionReply(emptyList(), reply.result, TransactionState.FAILED))
            }
        }
    }

    private fun committed(open: PooledLink, result: BatchResult, done: (SessionReply, HistoryPoint?) -> Unit) {
        link = null
        when (result) {
            is BatchResult.Broken -> {
                val doubt = StatementResult.Rejected(RejectionCode.IN_DOUBT, "$member: ${result.end}")
                done(SessionReply(emptyList(), doubt, TransactionState.IDLE), null)
            }

            is BatchResult.Answered -> {
                val reply = result.replies.first()
                if (reply.state == TransactionState.IDLE) lane?.putBack(open) else open.close()
                val written = reply.point.takeIf { reply.isCompleted && !readOnly }
                done(SessionReply(reply.rows, reply.result, TransactionState.IDLE), written)
            }
        }
    }

    private fun fail(code: RejectionCode, detail: String, done: (SessionReply) -> Unit) =
        fail(StatementResult.Rejected(code, detail), done)

    private fun fail(rejection: StatementResult.Rejected, done: (SessionReply) -> Unit) {
        abandon()
        done(SessionReply(emptyList(), rejection, TransactionState.FAILED))
    }
}
