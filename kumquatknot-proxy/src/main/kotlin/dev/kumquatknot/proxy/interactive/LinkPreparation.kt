package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.interactive.ConnectionState
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.StatementPlan
import dev.kumquatknot.proxy.pool.BatchResult
import dev.kumquatknot.proxy.pool.MemberPool
import dev.kumquatknot.proxy.pool.PooledLink
import kotlin.time.Duration

/**
 * Sets the session [values] and the [plan] on [this] connection and calls [done] with whether that succeeded. Values
 * are confirmed before a statement runs with them; a statement whose plan is missing fails.
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

/** Rolls back any open transaction on [this] connection and returns it to its [pool]. */
internal fun PooledLink.rollBackAndRelease(pool: MemberPool, timeout: Duration) {
    if (isClosed) return
    run(listOf(MemberCommand.Rollback), timeout) { result ->
        if (result is BatchResult.Answered) pool.releaseLink(this)
    }
}
