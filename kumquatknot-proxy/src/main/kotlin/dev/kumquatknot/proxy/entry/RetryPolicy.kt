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
 * Decides when a request is sent again. A new primary is a reason of its own: each request goes to it once without
 * drawing on the budget, since it never loaded that primary before. All other retries draw on the [budget]; while it
 * is empty a request waits for a new primary, but not longer than a failover should take.
 */
internal class RetryPolicy(
    private val groups: GroupTable,
    private val budget: RetryBudget,
    private val clock: Clock,
) {
    private val lock = ReentrantLock()

    /** Notes that a request succeeded. */
    fun recordSuccess() = lock.withLock { budget.recordSuccess() }

    /** Waits until [request], which failed in [term], may be sent again; false where it is to be given up. */
    fun awaitRetry(database: DatabaseName, term: Term, request: CallerRequest): Boolean {
        val giveUpAt = minOf(clock.elapsed() + FAILOVER_WAIT, request.deadline - MINIMUM_TIME)
        while (true) {
            val now = clock.elapsed()
            if (now >= giveUpAt) return false
            groups.awaitNewerPrimary(database, term, minOf(giveUpAt, now + PAUSE))
            if (groups.group(database).term > term) return true
            if (lock.withLock { budget.trySpend() }) return true
        }
    }

    private companion object {
        /** Time between two attempts without news of the group. */
        val PAUSE: Duration = 100.milliseconds

        /** Time within which a group should have a new primary. */
        val FAILOVER_WAIT: Duration = 4.seconds

        /** Time without which another attempt could not be answered before the deadline. */
        val MINIMUM_TIME: Duration = 10.milliseconds
    }
}
