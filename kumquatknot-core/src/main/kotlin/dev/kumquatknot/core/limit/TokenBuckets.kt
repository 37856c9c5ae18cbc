package dev.kumquatknot.core.limit

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.customer.RateLimit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Token buckets of all customers for a share of their limits. A bucket starts empty, fills with the share of the rate
 * and holds at most the share of the [LimitBudget.capacity]; whatever exceeds that when the share falls is dropped.
 */
public class TokenBuckets(private val budget: LimitBudget) {
    private val buckets = HashMap<CustomerName, Bucket>()
    private var updatedAt = Duration.ZERO
    private var raisedAt = -Duration.INFINITE

    /** Integral of the share over time, in seconds; what a bucket gained is the rate times its increase. */
    private var exposure = 0.0

    /** Share of the limits for which the buckets fill, from 0 to 1. */
    public var share: Double = 0.0
        private set

    /** Fills the buckets for another share from [now] on. */
    public fun changeShare(now: Duration, next: Double) {
        if (next == share) return
        if (next > share) raisedAt = now
        advance(now)
        buckets.values.forEach(::fill)
        share = next
        buckets.values.forEach(::fill)
    }

    /** Replaces the limits of all customers from [now] on. */
    public fun configure(now: Duration, limits: Map<CustomerName, RateLimit>) {
        advance(now)
        buckets.keys.retainAll(limits.keys)
        limits.forEach { (customer, limit) ->
            val bucket = buckets.getOrPut(customer) { Bucket(limit, exposure) }
            fill(bucket)
            bucket.limit = limit
            fill(bucket)
        }
    }

    /** Takes up to [wanted] tokens of [customer]; returns their number. */
    public fun take(now: Duration, customer: CustomerName, wanted: Int): Int {
        val bucket = filled(now, customer) ?: return 0
        val taken = minOf(wanted, (bucket.level + ROUNDING).toInt())
        bucket.level -= taken
        return taken
    }

    /**
     * Puts back [tokens] of [customer] that were taken within the life of a token and not used, while [outstanding]
     * others were taken within that time. What does not fit into the bucket together with those is dropped: tokens that
     * are returned and granted again before they lapse would otherwise add up to more than the buckets may hold.
     */
    public fun putBack(now: Duration, customer: CustomerName, tokens: Int, outstanding: Int) {
        val bucket = filled(now, customer) ?: return
        // The share counts that the bucket had throughout the life of the tokens.
        if (now - raisedAt < budget.tokenLife) return
        val room = budget.capacity(bucket.limit) * share - bucket.level - outstanding
        bucket.level += room.coerceIn(0.0, tokens.toDouble())
    }

    /** Returns the time until a token of [customer] is there; null if the share is too small for a whole one. */
    public fun timeUntilToken(now: Duration, customer: CustomerName): Duration? {
        val bucket = filled(now, customer) ?: return null
        val rate = bucket.limit.operationsPerSecond * share
        return when {
            bucket.level + ROUNDING >= 1.0 -> Duration.ZERO
            rate <= 0.0 || budget.capacity(bucket.limit) * share < 1.0 -> null
            else -> ((1.0 - bucket.level) / rate).seconds
        }
    }

    private fun filled(now: Duration, customer: CustomerName): Bucket? {
        advance(now)
        return buckets[customer]?.also(::fill)
    }

    private fun advance(now: Duration) {
        if (now <= updatedAt) return
        exposure += share * (now - updatedAt).toDouble(DurationUnit.SECONDS)
        updatedAt = now
    }

    private fun fill(bucket: Bucket) {
        val gained = bucket.limit.operationsPerSecond * (exposure - bucket.exposure)
        bucket.level = minOf(bucket.level + gained, budget.capacity(bucket.limit) * share)
        bucket.exposure = exposure
    }

    private class Bucket(var limit: RateLimit, var exposure: Double) {
        var level = 0.0
    }

    private companion object {
        /** A level that was summed up to a whole token may lack the last digits. */
        const val ROUNDING = 1e-9
    }
}
