package dev.kumquatknot.core.limit

import dev.kumquatknot.core.customer.LimitWindow
import dev.kumquatknot.core.customer.RateLimit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Divides the operations that a [window] allows between the rate, the time for which tokens are valid, the buckets and
 * fleet sizes that are out of date. `docs/design/customer-limits.md` derives that the sum keeps the bound.
 */
public class LimitBudget(private val window: LimitWindow) {
    /** Time after the request of a token until which it is valid; half of the overage pays for it. */
    public val tokenLife: Duration =
        (window.window * window.overage / 2).coerceIn(SHORTEST_TOKEN_LIFE, LONGEST_TOKEN_LIFE)

    /** Amount by which the shares of all VMs together may exceed the whole, as some have not seen new VMs yet. */
    public val shareTolerance: Double =
        ((window.window * window.overage - tokenLife) / (window.window + tokenLife)).coerceAtLeast(0.0)

    /** Returns the most operations of a customer with [limit] that all VMs together may run in a window. */
    public fun bound(limit: RateLimit): Double =
        (limit.operationsPerSecond * seconds(window.window) + limit.burst) * (1 + window.overage) + window.slack

    /** Returns the tokens of a customer with [limit] that the buckets of all VMs together may hold. */
    public fun capacity(limit: RateLimit): Double =
        (bound(limit) / (1 + shareTolerance) - limit.operationsPerSecond * seconds(window.window + tokenLife))
            .coerceAtLeast(0.0)

    private fun seconds(time: Duration) = time.toDouble(DurationUnit.SECONDS)

    private companion object {
        /** A request to a limiter in another region takes 16 ms, and more while VMs are busy. */
        val SHORTEST_TOKEN_LIFE = 100.milliseconds
        val LONGEST_TOKEN_LIFE = 500.milliseconds
    }
}
