package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName

/**
 * What decided the answer to a statement.
 *
 * @property member the member that answered, or that was tried last; null where none was.
 * @property attempts members that the statement was offered to.
 * @property required point that a replica had to have reached; null where the primary served.
 */
internal data class AnswerFacts(val member: MemberName?, val attempts: Int, val required: HistoryPoint?)
