package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.history.HistoryPoint
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
import dev.kumquatknot.proxy.pool.PoolSlot
import dev.kumquatknot.proxy.pool.PooledLink

/** Outcome of a statement outside a transaction; [written] is the point of its commit, or null if it wrote nothing. */
internal data class StatementOutcome(val reply: SessionReply, val written: HistoryPoint?, val facts: RoutingDetails)

/**
 * Runs one statement outside a transaction: selects a member, waits for a slot there, and retries at another member
 * if the statement certainly did not run or is a read.
 */
internal class SingleStatement(
    private val call: StatementCall,
    private val group: GroupPools,
    private val environment: NodeEnvironment,
    private val done: (StatementOutcome) -> Unit,
) {
    private val search = MemberSearch(
        replicaAllowed = call.access == StatementAccess.READ && call.route.consistency != ReadConsistency.CURRENT,
        group = group,
        environment = environment,
    )
    private var lastCode = RejectionCode.BUSY
    private var isCancelled = false
    private var cancelRequest: Cancel? = null

    /** Ends the statement without a result; if it was not sent to a member yet, it never will be. */
    fun cancel() {
        isCancelled = true
        cancelRequest?.invoke()
    }

    fun start() {
        if (isCancelled) return
        val stall = if (call.access == StatementAccess.WRITE) group.describeStall() else null
        if (stall != null) return fail(RejectionCode.BUSY, stall)
        search.next(call, ::found)
    }

    private fun found(result: SearchResult) {
        if (isCancelled) return
        when (result) {
            is SearchResult.Found -> offer(result.pool, result.required)
            is SearchResult.Exhausted -> fail(lastCode, result.detail)
        }
    }

    private fun offer(pool: MemberPool, required: HistoryPoint?) {
        val request = PoolRequest(
            item = call.workItem(),
            customer = call.customer,
            granted = { link, slot ->
                cancelRequest = null
                search.recordGrant(call)
                prepare(pool, link, slot, required)
            },
            refused = { refusal ->
                cancelRequest = null
                fail(RejectionCode.BUSY, "member ${pool.member.name}: $refusal")
            },
        )
        cancelRequest = { pool.cancel(request) }
        pool.submit(request)
    }

    private fun prepare(pool: MemberPool, link: PooledLink, slot: PoolSlot, required: HistoryPoint?) {
        link.prepareFor(call.values, call.plan, environment.limits.sessionSetupTimeout) { ready ->
            if (ready && isCancelled) {
                pool.releaseLink(link)
                slot.release(ran = false, answered = true)
            } else if (ready) {
                run(pool, link, slot, required)
            } else {
                link.close()
                slot.release(ran = false, answered = false)
                retry(pool, RejectionCode.BUSY)
            }
        }
    }

    private fun run(pool: MemberPool, link: PooledLink, slot: PoolSlot, required: HistoryPoint?) {
        val provesLead = call.access == StatementAccess.READ && (group.leads(pool) || required == null)
        val commands = if (provesLead) {
            listOf(call.command(null), MemberCommand.Begin(readOnly = false), MemberCommand.Rollback)
        } else {
            listOf(call.command(required.takeIf { call.access == StatementAccess.READ }))
        }
        val remaining = call.deadline - environment.now()
        if (!remaining.isPositive()) {
            pool.releaseLink(link)
            slot.release(ran = false, answered = true)
            return fail(RejectionCode.BUSY, "no time was left when a connection came")
        }
        val timeout = if (call.access == StatementAccess.READ) search.attemptTimeout(remaining) else remaining
        link.run(commands, timeout) { result -> ended(pool, link, slot, result, provesLead) }
    }

    private fun ended(pool: MemberPool, link: PooledLink, slot: PoolSlot, result: BatchResult, provesLead: Boolean) {
        slot.release(ran = true, answered = result is BatchResult.Answered)
        when (result) {
            is BatchResult.Answered -> answered(pool, link, result.replies, provesLead)
            is BatchResult.Broken -> broken(pool, result)
        }
    }

    private fun broken(pool: MemberPool, result: BatchResult.Broken) {
        if (call.access == StatementAccess.WRITE) {
            fail(RejectionCode.IN_DOUBT, "member ${pool.member.name}: ${result.end}")
        } else {
            retry(pool, if (environment.now() < call.deadline) RejectionCode.ABORTED else RejectionCode.TIMED_OUT)
        }
    }

    private fun answered(pool: MemberPool, link: PooledLink, replies: List<MemberReply>, provesLead: Boolean) {
        if (replies.last().state == TransactionState.IDLE) pool.releaseLink(link) else link.close()
        val reply = replies.first()
        val code = reply.rejection
        when {
            code != null && mayRetry(code, call.access) -> retry(pool, code)
            code == null && provesLead && !replies[1].isCompleted -> retry(pool, RejectionCode.READ_ONLY)
            else -> finish(pool, reply)
        }
    }

    private fun finish(pool: MemberPool, reply: MemberReply) {
        val written = reply.point.takeIf { call.access == StatementAccess.WRITE && reply.isCompleted }
        if (written == null || isCancelled) return answer(reply.rows, reply.result, null)
        group.confirmer.await(written, pool.member.name, call.deadline) { confirmation ->
            answer(reply.rows, reply.result.confirmedBy(confirmation, written), written)
        }
    }

    private fun answer(rows: List<String>, result: StatementResult, written: HistoryPoint?) {
        val shown = rows.takeIf { result is StatementResult.Completed }.orEmpty()
        end(StatementOutcome(SessionReply(shown, result, TransactionState.IDLE), written, search.facts))
    }

    private fun retry(pool: MemberPool, code: RejectionCode) {
        lastCode = code
        search.exclude(pool)
        when (code) {
            RejectionCode.TIMED_OUT -> fail(code, "no answer from ${search.excluded.joinToString()} in time")
            RejectionCode.BUSY, RejectionCode.READ_ONLY -> search.scheduleRetry { start() }
            else -> start()
        }
    }

    private fun fail(code: RejectionCode, detail: String) {
        val result = StatementResult.Rejected(code, detail)
        end(StatementOutcome(SessionReply(emptyList(), result, TransactionState.IDLE), null, search.facts))
    }

    private fun end(outcome: StatementOutcome) {
        if (!isCancelled) done(outcome)
    }
}
