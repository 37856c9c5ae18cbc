package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.SessionReply
import kotlin.time.Duration

/**
 * What a session uses of its node.
 *
 * @property route the route in force for a database name.
 * @property onAnswer called with each final reply to a statement that was for a member.
 * @property onReply called after a reply was sent.
 * @property onEnd called once when a session has ended.
 */
internal class SessionServices(
    val environment: NodeEnvironment,
    val route: (database: String) -> InteractiveRoute?,
    val group: (DatabaseName) -> GroupLanes,
    val transactionIdle: () -> Duration,
    val onAnswer: (StatementCall, SessionReply, AnswerFacts) -> Unit,
    val onReply: (InteractiveSession) -> Unit,
    val onEnd: (InteractiveSession) -> Unit,
)
