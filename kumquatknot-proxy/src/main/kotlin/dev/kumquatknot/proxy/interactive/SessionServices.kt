package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.customer.CallerKey
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.SessionReply
import kotlin.time.Duration

/**
 * Functions of the node that a session uses.
 *
 * @property route the route in force for a database name.
 * @property admission whether a caller with a key may use a route, and as which customer.
 * @property isInterrupted whether transactions are rolled back after the statement that they run, and new operations
 * are refused.
 * @property onAnswer called with each final reply to a statement that needed a member.
 * @property onReply called after a reply was sent.
 * @property onEnd called once when a session has ended.
 */
internal class SessionServices(
    val environment: NodeEnvironment,
    val route: (database: String) -> InteractiveRoute?,
    val admission: (InteractiveRoute, CallerKey?) -> CallerAdmission,
    val executor: () -> OperationExecutor,
    val transactionIdle: () -> Duration,
    val isInterrupted: () -> Boolean,
    val onAnswer: (StatementCall, SessionReply, RoutingDetails) -> Unit,
    val onReply: (InteractiveSession) -> Unit,
    val onEnd: (InteractiveSession) -> Unit,
)
