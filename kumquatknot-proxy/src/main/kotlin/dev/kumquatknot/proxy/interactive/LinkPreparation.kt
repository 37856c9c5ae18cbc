package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.interactive.ConnectionState
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.StatementPlan
import kotlin.time.Duration

/**
 * Gives [this] connection the session [values] and the [plan], and calls [done] with whether that worked. Values are
 * confirmed before anything runs under them; a plan may travel with the statement, which fails without it.
 */
internal fun PooledLink.prepareFor(
    values: Map<String, String>,
    plan: StatementPlan?,
    timeout: Duration,
    done: (Boolean) -> Unit,
) {
    val prepared = memory.prepareFor(values, plan)
    if (prepared.commands.isEmpty()) return done(true)
    memory = ConnectionState(uncertain = true)
    run(prepared.commands, timeout) { result ->
        val completed = result is BatchResult.Answered && result.replies.all { it.isCompleted }
        if (completed) memory = prepared.after
        done(completed)
    }
}

/** Ends whatever transaction is open on [this] connection and gives it back to its [lane]. */
internal fun PooledLink.rollBackInto(lane: MemberLane, timeout: Duration) {
    if (isClosed) return
    run(listOf(MemberCommand.Rollback), timeout) { result ->
        if (result is BatchResult.Answered) lane.putBack(this)
    }
}
