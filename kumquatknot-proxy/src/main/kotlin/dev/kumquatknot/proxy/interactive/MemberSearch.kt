package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.MemberName
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
    private var required: HistoryPoint? = null
    private var latest: MemberName? = null

    /** How many members were found so far. */
    var attempts: Int = 0
        private set

    /** Whether one more member may be tried after the present one. */
    val hasMoreAttempts: Boolean get() = attempts < environment.limits.attempts

    /** What decided where the work went. */
    val facts: AnswerFacts get() = AnswerFacts(latest, attempts, required)

    /** Names of the members that could not serve. */
    val excluded: Set<MemberName> get() = tried

    /** Finds the next member for [call]. */
    fun next(call: StatementCall, done: (SearchResult) -> Unit) {
        val needed = if (flexible) group.required(call.route, call.own) else null
        val lane = needed?.let { group.reader(it, tried) } ?: group.primary()
        when {
            lane == null && environment.now() < call.waitsForPrimaryUntil -> later { next(call, done) }
            lane == null -> done(SearchResult.Exhausted("no member of ${call.route.group} can run it"))
            !hasMoreAttempts -> done(SearchResult.Exhausted("rejected by ${tried.joinToString()}"))
            else -> {
                attempts++
                required = needed
                latest = lane.member.name
                done(SearchResult.Found(lane, needed))
            }
        }
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
