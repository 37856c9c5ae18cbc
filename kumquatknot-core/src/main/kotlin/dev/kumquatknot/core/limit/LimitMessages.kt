package dev.kumquatknot.core.limit

import dev.kumquatknot.core.customer.CustomerName
import kotlin.time.Duration

/**
 * A time of a limiter's clock.
 *
 * @property run random number of the limiter's process; the clock of another process has another origin.
 */
public data class LimiterStamp(val run: Long, val time: Duration)

/** A request for [tokens] of [customer]. */
public data class TokenDemand(val customer: CustomerName, val tokens: Int)

/** [tokens] of [customer] that were granted for the report with number [report] and were not used. */
public data class ReturnedTokens(val customer: CustomerName, val tokens: Int, val report: Long)

/** Grants [tokens] of [customer]; [retryAfter] is the time until the next one, null if none will come. */
public data class TokenGrant(val customer: CustomerName, val tokens: Int, val retryAfter: Duration?)

/**
 * Delegates [thirds] of the sender's entitlement to the receiving limiter and requests tokens.
 *
 * @property run random number of the sender's process.
 * @property number increases with each report of the process.
 * @property echo newest stamp of the receiver; without it nothing is delegated.
 * @property divisor number of VMs between which the sender divides the limits.
 * @property registered number of VMs that the sender itself saw registered; 0 if it is unknown.
 */
public data class LimitReport(
    val run: Long,
    val number: Long,
    val echo: LimiterStamp? = null,
    val thirds: Int = 0,
    val divisor: Int = 0,
    val registered: Int = 0,
    val demands: List<TokenDemand> = emptyList(),
    val returned: List<ReturnedTokens> = emptyList(),
)

/**
 * Answer of a limiter to the report with [number] of the process [run].
 *
 * @property registered highest number of registered VMs that the limiter or the VMs that report to it saw.
 */
public data class LimitGrant(
    val run: Long,
    val number: Long,
    val stamp: LimiterStamp,
    val registered: Int,
    val grants: List<TokenGrant>,
)
