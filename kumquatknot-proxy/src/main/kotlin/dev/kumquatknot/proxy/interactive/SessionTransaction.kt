package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.SessionReply

/** An open transaction of one session, which serves one statement at a time. */
internal interface SessionTransaction {
    /** The route in force when the transaction began. */
    val route: InteractiveRoute

    /** Whether a statement has failed; only a commit or a rollback is then accepted. */
    val failed: Boolean

    /** Whether the failure was reported to the caller. */
    var failureReported: Boolean

    /** Routing details of [call]; a statement that reused the transaction's connection has a wait of zero. */
    fun facts(call: StatementCall): RoutingDetails

    /** Runs [call] in the transaction. */
    fun run(call: StatementCall, done: (SessionReply) -> Unit)

    /** Commits; [done] gets the reply and, if it succeeded, the point of the commit. */
    fun commit(call: StatementCall, done: (SessionReply, HistoryPoint?) -> Unit)

    /** Marks the transaction as failed and rolls it back without waiting for the member. */
    fun abandon()
}
