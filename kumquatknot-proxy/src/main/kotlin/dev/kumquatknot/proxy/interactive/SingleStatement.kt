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

/** How a statement outside a transaction ended; [written] is the point of its commit, where it wrote. */
internal data class SingleOutcome(val reply: SessionReply, val written: HistoryPoint?, val facts: AnswerFacts)

/**
 * Runs one statement outside a transaction: chooses a member, waits for a slot there, and goes on to another member
 * where the statement surely did not run, or only reads.
 */
internal class SingleStatement(
    private val call: StatementCall,
    private val group: GroupLanes,
    private val environment: NodeEnvironment,
    private val done: (SingleOutcome) -> Unit,
) {
    private val search = MemberSearch(
        flexible = call.access == StatementAccess.READ && call.route.consistency != ReadConsistency.CURRENT,
        group = group,
        environment = environment,
    )
    private var lastCode = RejectionCode.BUSY

    fun start() = search.next(call) { result ->
        when (result) {
            is SearchResult.Found -> offer(result.lane, result.required)
            is SearchResult.Exhausted -> fail(lastCode, result.detail)
        }
    }

    private fun offer(lane: MemberLane, required: HistoryPoint?) = lane.submit(
        LaneWork(
            item = call.workItem(),
            granted = { link, slot ->
                search.granted(call)
                prepare(lane, link, slot, required)
            },
            refused = { refusal -> fail(RejectionCode.BUSY, "member ${lane.member.name}: $refusal") },
        ),
    )

    private fun prepare(lane: MemberLane, link: PooledLink, slot: LaneSlot, required: HistoryPoint?) {
        link.prepareFor(call.values, call.plan, environment.limits.settling) { ready ->
            if (ready) {
                run(lane, link, slot, required)
            } else {
                link.close()
                slot.end(ran = false, answered = false)
                again(lane, RejectionCode.BUSY)
            }
        }
    }

    private fun run(lane: MemberLane, link: PooledLink, slot: LaneSlot, required: HistoryPoint?) {
        val provesLead = call.access == StatementAccess.READ && (group.leads(lane) || required == null)
        val commands = if (provesLead) {
            listOf(call.command(null), MemberCommand.Begin(readOnly = false), MemberCommand.Rollback)
        } else {
            listOf(call.command(required.takeIf { call.access == StatementAccess.READ }))
        }
        val left = call.deadline - environment.now()
        if (!left.isPositive()) {
            lane.putBack(link)
            slot.end(ran = false, answered = true)
            return fail(RejectionCode.BUSY, "no time was left when a connection came")
        }
        val timeout = if (call.access == StatementAccess.READ) search.attemptTime(left) else left
        link.run(commands, timeout) { result -> ended(lane, link, slot, result, provesLead) }
    }

    private fun ended(lane: MemberLane, link: PooledLink, slot: LaneSlot, result: BatchResult, provesLead: Boolean) {
        slot.end(ran = true, answered = result is BatchResult.Answered)
        when (result) {
            is BatchResult.Answered -> answered(lane, link, result.replies, provesLead)
            is BatchResult.Broken -> broken(lane, result)
        }
    }

    private fun broken(lane: MemberLane, result: BatchResult.Broken) {
        if (call.access == StatementAccess.WRITE) {
            fail(RejectionCode.IN_DOUBT, "member ${lane.member.name}: ${result.end}")
        } else {
            again(lane, if (environment.now() < call.deadline) RejectionCode.ABORTED else RejectionCode.TIMED_OUT)
        }
    }

    private fun answered(lane: MemberLane, link: PooledLink, replies: List<MemberReply>, provesLead: Boolean) {
        if (replies.last().state == TransactionState.IDLE) lane.putBack(link) else link.close()
        val reply = replies.first()
        val code = reply.rejection
        when {
            code != null && mayRepeat(code, call.access) -> again(lane, code)
            code == null && provesLead && !replies[1].isCompleted -> again(lane, RejectionCode.READ_ONLY)
            else -> finish(reply)
        }
    }

    private fun finish(reply: MemberReply) {
        val written = reply.point.takeIf { call.access == StatementAccess.WRITE && reply.isCompleted }
        done(
            SingleOutcome(
                SessionReply(reply.rows, reply.result, TransactionState.IDLE),
                written,
                search.facts,
            ),
        )
    }

    private fun again(lane: MemberLane, code: RejectionCode) {
        lastCode = code
        search.exclude(lane)
        when (code) {
            RejectionCode.TIMED_OUT -> fail(code, "no answer from ${search.excluded.joinToString()} in time")
            RejectionCode.BUSY, RejectionCode.READ_ONLY -> search.later { start() }
            else -> start()
        }
    }

    private fun fail(code: RejectionCode, detail: String) {
        val result = StatementResult.Rejected(code, detail)
        done(SingleOutcome(SessionReply(emptyList(), result, TransactionState.IDLE), null, search.facts))
    }
}
