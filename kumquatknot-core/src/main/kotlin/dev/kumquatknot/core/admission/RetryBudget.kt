package dev.kumquatknot.core.admission

/**
 * Retry budget: each success earns a fraction of a retry, so that retries stay a fixed share of the successful work and
 * do not amplify an overload. Not thread-safe.
 *
 * @param successesPerRetry number of successes that earn one retry.
 * @param capacity maximum of retries in the budget, which starts full.
 */
public class RetryBudget(private val successesPerRetry: Int = 10, private val capacity: Int = 10) {
    private var successes = capacity * successesPerRetry

    /** Number of retries that may be spent now. */
    public val available: Int get() = successes / successesPerRetry

    /** Records that work succeeded, at its first attempt or a later one. */
    public fun recordSuccess() {
        successes = minOf(capacity * successesPerRetry, successes + 1)
    }

    /** Spends one retry; returns false if none is left and the failure must be reported to the caller. */
    public fun trySpend(): Boolean {
        if (available == 0) return false
        successes -= successesPerRetry
        return true
    }
}
