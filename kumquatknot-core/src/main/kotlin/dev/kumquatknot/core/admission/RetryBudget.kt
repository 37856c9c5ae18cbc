package dev.kumquatknot.core.admission

/**
 * Budget of automatic retries: each success earns a part of a retry, so that retries stay a fixed share of the work
 * that succeeds and an overload never feeds itself. Not safe for use by several threads at once.
 *
 * @param successesPerRetry successes that earn one retry.
 * @param capacity retries that can be saved up; the budget starts full.
 */
public class RetryBudget(private val successesPerRetry: Int = 10, private val capacity: Int = 10) {
    private var successes = capacity * successesPerRetry

    /** Number of retries that the budget allows now. */
    public val available: Int get() = successes / successesPerRetry

    /** Notes that work succeeded, at its first attempt or later. */
    public fun recordSuccess() {
        successes = minOf(capacity * successesPerRetry, successes + 1)
    }

    /** Takes one retry out of the budget; false where it is used up and the failure goes to the caller. */
    public fun trySpend(): Boolean {
        if (available == 0) return false
        successes -= successesPerRetry
        return true
    }
}
