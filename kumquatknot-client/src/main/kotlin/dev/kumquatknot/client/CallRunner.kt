package dev.kumquatknot.client

import arrow.core.Either
import arrow.core.getOrElse
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Condition under which a failed call may be sent again. */
internal enum class RetryCondition {
    /** Only if the previous attempt is proved not to have run. */
    NOT_RUN,

    /** Also if the outcome of the previous attempt is unknown. */
    ALWAYS,
}

/** One call of the proxy's HTTP API. */
internal data class Call(
    val method: Method,
    val path: String,
    val headers: List<Pair<String, String>>,
    val body: String,
    val retryCondition: RetryCondition,
    val deadline: Duration?,
    val entry: String? = null,
)

/** Outcome of one attempt, with the entry that it was sent to. */
internal data class Attempt(val outcome: Outcome<Answer>, val entry: String)

/** Sends calls and retries them by the rules that [KumquatknotClient] documents. */
internal class CallRunner(
    private val settings: ClientSettings,
    private val send: SendRequest,
    private val budget: RetryBudget,
    private val time: TimeSource,
    private val sleep: (Duration) -> Unit,
    private val random: Random,
) {
    private val nextEntry = AtomicInteger(random.nextInt(settings.entries.size))

    /** Runs [call] with the tokens of [session] and updates these with each response. */
    fun run(call: Call, session: SessionTokens): Attempt {
        val deadline = time.markNow() + (call.deadline ?: settings.deadline)
        budget.recordRequest()
        var attempts = 0
        while (true) {
            val attempt = sendOnce(call, session, deadline)
            attempts += 1
            val pause = pauseBeforeRetry(call, attempt.outcome, attempts) ?: return attempt
            if (pause >= -deadline.elapsedNow() || !budget.tryAcquireRetry()) return attempt
            sleep(pause)
        }
    }

    private fun sendOnce(call: Call, session: SessionTokens, deadline: TimeMark): Attempt {
        val entry = call.entry ?: settings.entries[Math.floorMod(nextEntry.get(), settings.entries.size)]
        val remaining = maxOf(-deadline.elapsedNow(), 1.milliseconds)
        val sent = session.current()
        val outcome =
            send(request(call, entry, sent, remaining), remaining + settings.grace).fold(::outcomeOf) { response ->
                response.header(SESSION)?.let { session.replace(sent, it) }
                outcomeOf(response)
            }
        if (outcome is Outcome.Failed) nextEntry.incrementAndGet()
        return Attempt(outcome, entry)
    }

    private fun request(call: Call, entry: String, tokens: Set<String>, remaining: Duration): Request {
        val session = if (tokens.isEmpty()) emptyList() else listOf(SESSION to tokens.joinToString(","))
        val commonHeaders =
            listOf(
                "Authorization" to "Bearer ${settings.teamKey}",
                "Content-Type" to "application/json",
                "Kumquatknot-Deadline-Milliseconds" to remaining.inWholeMilliseconds.toString(),
            )
        return Request(
            call.method,
            entry.trimEnd('/') + call.path,
        ).headers(commonHeaders + session + call.headers).body(call.body)
    }

    private fun pauseBeforeRetry(call: Call, outcome: Outcome<Answer>, attempts: Int): Duration? =
        when (outcome) {
            is Outcome.Completed, is Outcome.CompletedWithoutAnswer -> null
            is Outcome.NotRun -> outcome.retryAfter?.let { maxOf(it, backoff(attempts)) }
            is Outcome.Unknown -> if (call.retryCondition == RetryCondition.ALWAYS) backoff(attempts) else null
        }

    private fun backoff(attempts: Int): Duration {
        val maximum = settings.initialBackoff * (1 shl minOf(attempts, MAXIMUM_DOUBLINGS))
        return maximum * (1 + random.nextDouble()) / 2
    }

    private fun outcomeOf(failure: TransportFailure): Outcome<Answer> =
        when (failure) {
            is TransportFailure.NotSent -> Outcome.NotRun(
                problem("not-sent", "connect", "not-run", failure.detail),
                ZERO,
            )
            is TransportFailure.NoAnswer ->
                Outcome.Unknown(problem("no-answer", "execute", "unknown", failure.detail), null, null)
        }

    private fun outcomeOf(response: Response): Outcome<Answer> =
        if (response.status.successful) {
            catchUnreadable { Outcome.Completed(JSON.decodeFromString(Answer.serializer(), response.bodyString())) }
        } else {
            catchUnreadable { outcomeOf(JSON.decodeFromString(Problem.serializer(), response.bodyString())) }
        }

    private fun outcomeOf(problem: Problem): Outcome<Answer> =
        when (problem.effect) {
            "completed" -> Outcome.CompletedWithoutAnswer(problem)
            "not-run" -> Outcome.NotRun(problem, problem.retryAfter ?: defaultRetryAfter(problem.status))
            else -> Outcome.Unknown(problem, null, null)
        }

    private fun defaultRetryAfter(status: Int): Duration? = if (status == UNAVAILABLE) ZERO else null

    private fun catchUnreadable(parse: () -> Outcome<Answer>): Outcome<Answer> =
        Either.catchOrThrow<SerializationException, Outcome<Answer>> { parse() }.getOrElse {
            Outcome.Unknown(problem("unreadable-answer", "parse", "unknown", it.message.orEmpty()), null, null)
        }

    private fun problem(type: String, step: String, effect: String, detail: String): Problem =
        Problem("$URN_PREFIX$type", type.replace('-', ' '), 0, detail, null, step, "proxy", effect)

    private companion object {
        const val SESSION = "Kumquatknot-Session"
        const val URN_PREFIX = "urn:kumquatknot:problem:"
        const val UNAVAILABLE = 503
        const val MAXIMUM_DOUBLINGS = 8
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
