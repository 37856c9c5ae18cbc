package dev.kumquatknot.core.platform

import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName

/** An order to make [candidate] the primary of [group], fenced by [token]. */
public data class PromotionOrder(
    val group: DatabaseName,
    val candidate: MemberName,
    val holder: String,
    val token: Long,
)

/** Answer to a [PromotionOrder]. */
public sealed interface PromotionAnswer {
    /** The order is carried out, or was before. */
    public data object Accepted : PromotionAnswer

    /** A higher token was used, or the candidate does not run; nothing was done. */
    public data class Refused(val detail: String) : PromotionAnswer

    /** Nothing was done for now, for example because of the rate of calls. */
    public data class Unavailable(val detail: String) : PromotionAnswer

    /** No usable answer; the order may still be carried out later. */
    public data class Unknown(val detail: String) : PromotionAnswer
}

/** Gives an order to the platform and blocks for the answer. */
public typealias OrderPromotion = (order: PromotionOrder) -> PromotionAnswer
