package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.interactive.FailoverWaitPolicy
import kotlin.time.Duration

/** What a [MemberSearch] ended with. */
internal sealed interface SearchResult {
    /** [lane] is the best member left; it must have reached [required], where that is given. */
    data class Found(val lane: MemberLane, val required: HistoryPoint?) : SearchResult

    /** No member can take the work before its caller had better come again. */
    data class Exhausted(val detail: String) : SearchResult
}

/**
 * Finds the members for one statement or transaction, one after the other, and waits a while for a primary.
 *
 * @param flexible whether a replica may serve, as far as the route allows it.
 */
internal class MemberSearch(
    private val flexible: Boolean,
    private val group: GroupLanes,
    private val environment: NodeEnvironment,
) {
    private val tried = LinkedHashSet<MemberName>()
    private val patience = FailoverWaitPolicy()

    /** What decided where the work went so far. */
    var facts: AnswerFacts = AnswerFacts()
        private set

    /** Whether one more member may be tried after the present one. */
    private val hasMoreAttempts: Boolean get() = facts.attempts < environment.limits.attempts

    /** Names of the members that could not serve. */
    val excluded: Set<MemberName> get() = tried

    /** Finds the next member for [call]. */
    fun next(call: StatementCall, done: (SearchResult) -> Unit) {
        val needed = if (flexible) group.required(call.route, call.own) else null
        val lane = needed?.let { group.reader(it, tried) } ?: group.primary()
        when {
            lane == null -> awaitPrimary(call, done)
            !hasMoreAttempts -> done(SearchResult.Exhausted("rejected by ${tried.joinToString()}"))
            else -> {
                facts = AnswerFacts(
                    member = lane.member.name,
                    attempts = facts.attempts + 1,
                    required = needed,
                    proofAge = group.proofs.latestProofRequestedAt?.let { environment.now() - it },
                )
                done(SearchResult.Found(lane, needed))
            }
        }
    }

    private fun awaitPrimary(call: StatementCall, done: (SearchResult) -> Unit) {
        val lostSince = group.primaryLostSince()
        val now = environment.now()
        val until = if (lostSince == null) {
            call.waitsForPrimaryUntil
        } else {
            patience.latestWaitTime(lostSince, now, call.deadline)
        }
        if (until != null && now < until) {
            later { next(call, done) }
        } else {
            val since = lostSince?.let { ", which lost its primary ${now - it} ago" }.orEmpty()
            done(SearchResult.Exhausted("no member of ${call.route.group}$since can run it"))
        }
    }

    /** Notes that the member found last gave [call] a slot and a connection. */
    fun granted(call: StatementCall) {
        facts = facts.copy(waited = environment.now() - call.startedAt)
    }

    /** Notes that [lane] could not serve; the next search prefers others. */
    fun exclude(lane: MemberLane) {
        tried += lane.member.name
    }

    /** Calls [task] after the pause that a busy member needs. */
    fun later(task: () -> Unit) {
        environment.schedule(environment.limits.retryPause, task)
    }

    /** Time that a read may spend on the present attempt when [left] is left in all. */
    fun attemptTime(left: Duration): Duration =
        if (hasMoreAttempts) {
            maxOf(left * environment.limits.readAttemptPart, environment.limits.report).coerceAtMost(left)
        } else {
            left
        }
}
