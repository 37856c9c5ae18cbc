package dev.kumquatknot.core.platform

import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName

/** Order to promote [candidate] to primary of [group], sent by [holder] of the lease with fencing [token]. */
public data class PromotionOrder(
    val group: DatabaseName,
    val candidate: MemberName,
    val holder: String,
    val token: Long,
)

/** Answer to a [PromotionOrder]. */
public sealed interface PromotionAnswer {
    /** The order is carried out now, or was before. */
    public data object Accepted : PromotionAnswer

    /** A higher token was already used, or the candidate is not running; nothing was done. */
    public data class Refused(val detail: String) : PromotionAnswer

    /** Nothing was done and the order may be retried, for example after rate limiting. */
    public data class Unavailable(val detail: String) : PromotionAnswer

    /** No usable response; the order may still be carried out later. */
    public data class Unknown(val detail: String) : PromotionAnswer
}

/** Sends an order to the platform and blocks until the response. */
public typealias OrderPromotion = (order: PromotionOrder) -> PromotionAnswer
