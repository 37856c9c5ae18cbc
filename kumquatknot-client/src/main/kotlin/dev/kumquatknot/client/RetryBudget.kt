package dev.kumquatknot.client

/**
 * Limits retries to a ratio of the requests, so that retries never amplify an overload. Each request adds [retryRatio]
 * to the budget, up to [maximumRetries]; each retry takes 1 from it. Thread-safe.
 */
public class RetryBudget(
    private val retryRatio: Double = DEFAULT_RETRY_RATIO,
    private val maximumRetries: Double = DEFAULT_MAXIMUM_RETRIES,
) {
    private var available = maximumRetries

    /** Adds the share of one request to the budget. */
    @Synchronized
    public fun recordRequest() {
        available = minOf(maximumRetries, available + retryRatio)
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    @Synchronized
    public fun tryAcquireRetry(): Boolean {
        if (available < 1) return false
        available -= 1
        return true
    }

    private companion object {
        const val DEFAULT_RETRY_RATIO = 0.1
        const val DEFAULT_MAXIMUM_RETRIES = 10.0
    }
}
