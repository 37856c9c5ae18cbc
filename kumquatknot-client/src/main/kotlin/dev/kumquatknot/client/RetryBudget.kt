package dev.kumquatknot.client

/**
 * Bounds retries to a share of the requests, so that retries never feed an overload. Each request earns [share] of a
 * retry, and at most [reserve] retries are kept in hand. Thread-safe.
 */
public class RetryBudget(
    private val share: Double = DEFAULT_SHARE,
    private val reserve: Double = DEFAULT_RESERVE,
) {
    private var available = reserve

    /** Counts a request in. */
    @Synchronized
    public fun earn() {
        available = minOf(reserve, available + share)
    }

    /** Takes one retry out of the budget; false where none is left. */
    @Synchronized
    public fun spend(): Boolean {
        if (available < 1) return false
        available -= 1
        return true
    }

    private companion object {
        const val DEFAULT_SHARE = 0.1
        const val DEFAULT_RESERVE = 10.0
    }
}
