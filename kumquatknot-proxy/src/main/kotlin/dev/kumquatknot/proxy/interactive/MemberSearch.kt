package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.interactive.FailoverWaitPolicy
import dev.kumquatknot.proxy.pool.MemberPool
import kotlin.time.Duration

/** Result of a [MemberSearch]. */
internal sealed interface SearchResult {
    /** [pool] is that of the best remaining member, which must have reached [required], unless that is null. */
    data class Found(val pool: MemberPool, val required: HistoryPoint?) : SearchResult

    /** No member can run the statement soon enough; the caller should retry later. */
    data class Exhausted(val detail: String) : SearchResult
}

/**
 * Selects the members to try in turn for one statement or transaction, and waits for a primary for a limited time.
 *
 * @param replicaAllowed whether a replica may serve if the route allows it.
 */
internal class MemberSearch(
    private val replicaAllowed: Boolean,
    private val group: GroupPools,
    private val environment: NodeEnvironment,
) {
    private var tried = emptySet<MemberName>()
    private val outageWait = FailoverWaitPolicy()

    /** Details of the routing decisions so far. */
    var facts: RoutingDetails = RoutingDetails()
        private set

    /** Whether another member may be tried after the current one. */
    private val hasMoreAttempts: Boolean get() = facts.attempts < environment.limits.maximumAttempts

    /** Names of the members that failed to serve. */
    val excluded: Set<MemberName> get() = tried

    /** Finds the next member for [call]. */
    fun next(call: StatementCall, done: (SearchResult) -> Unit) {
        group.recordUse()
        val needed = if (replicaAllowed) group.requiredPoint(call.route, call.lastWritten) else null
        val pool = needed?.let { group.poolForRead(it, tried) } ?: group.availablePrimary()
        when {
            pool == null -> awaitPrimary(call, done)
            !hasMoreAttempts -> done(SearchResult.Exhausted("rejected by ${tried.joinToString()}"))
            else -> {
                facts = RoutingDetails(
                    member = pool.member.name,
                    attempts = facts.attempts + 1,
                    required = needed,
                    proofAge = group.proofs.latestProofRequestedAt?.let { environment.now() - it },
                )
                done(SearchResult.Found(pool, needed))
            }
        }
    }

    private fun awaitPrimary(call: StatementCall, done: (SearchResult) -> Unit) {
        val lostSince = group.primaryLostSince()
        val now = environment.now()
        val until = if (lostSince == null) {
            call.waitsForPrimaryUntil
        } else {
            outageWait.latestWaitTime(lostSince, now, call.deadline)
        }
        if (until != null && now < until) {
            scheduleRetry { next(call, done) }
        } else {
            val since = lostSince?.let { ", which lost its primary ${now - it} ago" }.orEmpty()
            done(SearchResult.Exhausted("no member of ${call.route.group}$since can run it"))
        }
    }

    /** Records that [call] got a slot and a connection of the member found last. */
    fun recordGrant(call: StatementCall) {
        facts = facts.copy(waited = environment.now() - call.startedAt)
    }

    /** Excludes the member of [pool] from further reads, as it failed to serve. */
    fun exclude(pool: MemberPool) {
        tried += pool.member.name
    }

    /** Calls [task] after [InteractiveLimits.retryDelay]. */
    fun scheduleRetry(task: () -> Unit) {
        environment.schedule(environment.limits.retryDelay, task)
    }

    /** Returns the timeout of a read's current attempt, given the [remaining] time of the statement. */
    fun attemptTimeout(remaining: Duration): Duration =
        if (hasMoreAttempts) {
            maxOf(remaining * environment.limits.readAttemptShare, environment.limits.reportTimeout)
                .coerceAtMost(remaining)
        } else {
            remaining
        }
}
