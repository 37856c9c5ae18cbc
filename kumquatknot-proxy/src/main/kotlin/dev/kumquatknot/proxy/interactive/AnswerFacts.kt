package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration

/**
 * What decided the answer to a statement.
 *
 * @property member the member that answered, or that was tried last; null where none was.
 * @property attempts members that the statement was offered to.
 * @property required point that a replica had to have reached; null where the primary served.
 * @property proofAge age of the newest proof of the primary's lead when the member was chosen; null without any.
 * @property waited time from the arrival until a slot and a connection were there; null where they never were.
 */
internal data class AnswerFacts(
    val member: MemberName? = null,
    val attempts: Int = 0,
    val required: HistoryPoint? = null,
    val proofAge: Duration? = null,
    val waited: Duration? = null,
)
