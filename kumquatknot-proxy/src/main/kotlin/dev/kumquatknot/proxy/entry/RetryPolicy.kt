package dev.kumquatknot.proxy.entry

import dev.kumquatknot.core.admission.RetryBudget
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.request.CallerRequest
import dev.kumquatknot.core.time.Clock
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when a failed request is retried. After a change of primary a request is retried once without spending the
 * budget, because it has put no load on the new primary yet. All other retries spend the [budget]; while it is
 * exhausted, a request waits for a new primary, but no longer than a failover should take.
 */
internal class RetryPolicy(
    private val groups: GroupCache,
    private val budget: RetryBudget,
    private val clock: Clock,
) {
    private val lock = ReentrantLock()

    /** Credits the retry budget for a successful request. */
    fun recordSuccess() = lock.withLock { budget.recordSuccess() }

    /** Blocks until [request], which failed in [term], may be retried; returns false if it must not be retried. */
    fun awaitRetry(database: DatabaseName, term: Term, request: CallerRequest): Boolean {
        val retryUntil = minOf(clock.elapsed() + FAILOVER_TIMEOUT, request.deadline - MINIMUM_ATTEMPT_TIME)
        while (true) {
            val now = clock.elapsed()
            if (now >= retryUntil) return false
            groups.awaitNewerPrimary(database, term, minOf(retryUntil, now + RETRY_INTERVAL))
            if (groups.group(database).term > term) return true
            if (lock.withLock { budget.trySpend() }) return true
        }
    }

    private companion object {
        /** Time between two attempts while the term of the group does not change. */
        val RETRY_INTERVAL: Duration = 100.milliseconds

        /** Time within which a group should have a new primary after a failover. */
        val FAILOVER_TIMEOUT: Duration = 4.seconds

        /** Least time before the deadline in which another attempt may still be answered. */
        val MINIMUM_ATTEMPT_TIME: Duration = 10.milliseconds
    }
}
