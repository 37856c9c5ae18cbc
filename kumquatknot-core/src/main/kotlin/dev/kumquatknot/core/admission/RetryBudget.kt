package dev.kumquatknot.core.admission

/**
 * Budget of automatic retries: each success earns a part of a retry, so that retries stay a fixed share of the work
 * that succeeds and an overload never feeds itself. Not safe for use by several threads at once.
 *
 * @param retriesPerSuccess share of a retry that one success earns.
 * @param capacity retries that can be saved up; the budget starts full.
 */
public class RetryBudget(private val retriesPerSuccess: Double = 0.1, private val capacity: Double = 10.0) {
    private var balance = capacity

    /** Number of whole retries that the budget allows now. */
    public val available: Int get() = balance.toInt()

    /** Notes that work succeeded at its first attempt or later. */
    public fun recordSuccess() {
        balance = minOf(capacity, balance + retriesPerSuccess)
    }

    /** Takes one retry out of the budget; false where it is used up and the failure goes to the caller. */
    public fun trySpend(): Boolean {
        if (balance < 1.0) return false
        balance -= 1.0
        return true
    }
}
