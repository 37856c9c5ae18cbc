package dev.kumquatknot.proxy.limit

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.limit.LimitGrant
import dev.kumquatknot.core.limit.LimitReport
import dev.kumquatknot.core.limit.LimiterStamp
import dev.kumquatknot.core.limit.ReturnedTokens
import dev.kumquatknot.core.limit.TokenDemand
import dev.kumquatknot.core.limit.TokenGrant
import dev.kumquatknot.proxy.fleet.LimitGrantPayload
import dev.kumquatknot.proxy.fleet.LimitReportPayload
import dev.kumquatknot.proxy.fleet.LimitTokensPayload
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** Value of `retryAfterMillis` where no token will come, as the limiter's share is too small. */
private const val NEVER = -1L

internal fun LimitReport.toPayload() = LimitReportPayload(
    number = number,
    echoedStamp = echo?.time?.inWholeMicroseconds,
    demands = demands.map { LimitTokensPayload(it.customer.value, it.tokens) },
    returned = returned.map { LimitTokensPayload(it.customer.value, it.tokens, report = it.report) },
    run = run,
    echoedRun = echo?.run ?: 0,
    thirds = thirds,
    divisor = divisor,
    registered = registered,
)

internal fun LimitReportPayload.toReport() = LimitReport(
    run = run,
    number = number,
    echo = echoedStamp?.let { LimiterStamp(echoedRun, it.microseconds) },
    thirds = thirds,
    divisor = divisor,
    registered = registered,
    demands = demands.map { TokenDemand(CustomerName(it.customer), it.tokens) },
    returned = returned.map { ReturnedTokens(CustomerName(it.customer), it.tokens, it.report) },
)

internal fun LimitGrant.toPayload() = LimitGrantPayload(
    number = number,
    stamp = stamp.time.inWholeMicroseconds,
    grants = grants.map {
        LimitTokensPayload(it.customer.value, it.tokens, it.retryAfter?.inWholeMilliseconds ?: NEVER)
    },
    run = stamp.run,
    reportRun = run,
    registered = registered,
)

internal fun LimitGrantPayload.toGrant() = LimitGrant(
    run = reportRun,
    number = number,
    stamp = LimiterStamp(run, stamp.microseconds),
    registered = registered,
    grants = grants.map { grant ->
        val retryAfter = grant.retryAfterMillis.takeIf { it >= 0 }?.milliseconds
        TokenGrant(CustomerName(grant.customer), grant.tokens, retryAfter)
    },
)
