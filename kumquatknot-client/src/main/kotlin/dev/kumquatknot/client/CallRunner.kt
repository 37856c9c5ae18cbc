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

/** When a call may be sent again. */
internal enum class Repeat {
    /** Only when it is proved that it did not run. */
    NOT_RUN,

    /** Also when its outcome is unknown. */
    ALWAYS,
}

/** One call of the callers' interface. */
internal data class Call(
    val method: Method,
    val path: String,
    val headers: List<Pair<String, String>>,
    val body: String,
    val repeat: Repeat,
    val deadline: Duration?,
    val entry: String? = null,
)

/** How one attempt ended, with the entry that was asked. */
internal data class Attempt(val outcome: Outcome<Answer>, val entry: String)

/** Sends calls until they have their outcome, by the rules that [KumquatknotClient] states. */
internal class CallRunner(
    private val settings: ClientSettings,
    private val send: SendRequest,
    private val budget: RetryBudget,
    private val time: TimeSource,
    private val sleep: (Duration) -> Unit,
    private val random: Random,
) {
    private val nextEntry = AtomicInteger(random.nextInt(settings.entries.size))

    /** Runs [call] in a session whose tokens [session] holds. */
    fun run(call: Call, session: SessionTokens): Attempt {
        val end = time.markNow() + (call.deadline ?: settings.deadline)
        budget.earn()
        var attempts = 0
        while (true) {
            val attempt = attempt(call, session, end)
            attempts += 1
            val pause = pauseBeforeRetry(call, attempt.outcome, attempts) ?: return attempt
            if (pause >= -end.elapsedNow() || !budget.spend()) return attempt
            sleep(pause)
        }
    }

    private fun attempt(call: Call, session: SessionTokens, end: TimeMark): Attempt {
        val entry = call.entry ?: settings.entries[Math.floorMod(nextEntry.get(), settings.entries.size)]
        val left = maxOf(-end.elapsedNow(), 1.milliseconds)
        val sent = session.current()
        val outcome =
            send(request(call, entry, sent, left), left + settings.grace).fold(::outcomeOf) { response ->
                response.header(SESSION)?.let { session.replace(sent, it) }
                outcomeOf(response)
            }
        if (outcome is Outcome.Failed) nextEntry.incrementAndGet()
        return Attempt(outcome, entry)
    }

    private fun request(call: Call, entry: String, tokens: Set<String>, left: Duration): Request {
        val session = if (tokens.isEmpty()) emptyList() else listOf(SESSION to tokens.joinToString(","))
        val own =
            listOf(
                "Authorization" to "Bearer ${settings.teamKey}",
                "Content-Type" to "application/json",
                "Kumquatknot-Deadline-Milliseconds" to left.inWholeMilliseconds.toString(),
            )
        return Request(
            call.method,
            entry.trimEnd('/') + call.path,
        ).headers(own + session + call.headers).body(call.body)
    }

    private fun pauseBeforeRetry(call: Call, outcome: Outcome<Answer>, attempts: Int): Duration? =
        when (outcome) {
            is Outcome.Completed, is Outcome.CompletedWithoutAnswer -> null
            is Outcome.NotRun -> outcome.retryAfter?.let { maxOf(it, backoff(attempts)) }
            is Outcome.Unknown -> if (call.repeat == Repeat.ALWAYS) backoff(attempts) else null
        }

    private fun backoff(attempts: Int): Duration {
        val longest = settings.shortestBackoff * (1 shl minOf(attempts, MAXIMUM_DOUBLINGS))
        return longest * (1 + random.nextDouble()) / 2
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
            parse { Outcome.Completed(JSON.decodeFromString(Answer.serializer(), response.bodyString())) }
        } else {
            parse { outcomeOf(JSON.decodeFromString(Problem.serializer(), response.bodyString())) }
        }

    private fun outcomeOf(problem: Problem): Outcome<Answer> =
        when (problem.effect) {
            "completed" -> Outcome.CompletedWithoutAnswer(problem)
            "not-run" -> Outcome.NotRun(problem, problem.retryAfter ?: impliedRetry(problem.status))
            else -> Outcome.Unknown(problem, null, null)
        }

    private fun impliedRetry(status: Int): Duration? = if (status == UNAVAILABLE) ZERO else null

    private fun parse(parse: () -> Outcome<Answer>): Outcome<Answer> =
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
