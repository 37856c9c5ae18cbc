package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName
import kotlin.time.Duration

/**
 * Routing of one statement, for the log and metrics.
 *
 * @property member the member that answered or was tried last; null if none was tried.
 * @property attempts members that the statement was offered to.
 * @property required point that a replica must have reached; null if the primary served.
 * @property proofAge age of the newest proof of the primary's lead when the member was selected; null without one.
 * @property waited time from the arrival until a slot and a connection were acquired; null if they never were.
 */
internal data class RoutingDetails(
    val member: MemberName? = null,
    val attempts: Int = 0,
    val required: HistoryPoint? = null,
    val proofAge: Duration? = null,
    val waited: Duration? = null,
)
