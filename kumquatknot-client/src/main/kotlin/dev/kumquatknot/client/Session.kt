package dev.kumquatknot.client

import kotlinx.serialization.json.Json
import org.http4k.core.Method
import org.http4k.core.Method.POST
import java.net.URLEncoder
import java.util.concurrent.Semaphore
import kotlin.time.Duration

/**
 * A session that sees its own writes at every entry. Requests of one session may run in parallel, up to
 * [MAXIMUM_PARALLEL]; more wait. Thread-safe.
 */
public class Session internal constructor(private val calls: CallRunner, tokens: Set<String>) {
    private val sessionTokens = SessionTokens(tokens)
    private val places = Semaphore(MAXIMUM_PARALLEL)

    /** Tokens to go on with this session elsewhere, for example in a cookie; small, and opaque to callers. */
    public val tokens: Set<String> get() = sessionTokens.current()

    /**
     * Runs statements that change nothing.
     *
     * @param maximumAge age of data that this read accepts, where it is stricter than its kind's.
     * @param deadline time within which the answer is of use, where it differs from the client's.
     */
    public fun read(
        database: String,
        kind: String,
        statements: List<Statement>,
        maximumAge: Duration? = null,
        deadline: Duration? = null,
    ): Outcome<Answer> {
        val age = maximumAge?.let { "Kumquatknot-Maximum-Age-Milliseconds" to it.inWholeMilliseconds.toString() }
        val headers = listOfNotNull(KIND to kind, age)
        return run(Call(POST, path(database, "read"), headers, body(statements), Repeat.ALWAYS, deadline)).outcome
    }

    /**
     * Runs statements in one transaction.
     *
     * @param key makes the work run at most once; kinds of work that may not be repeated need one.
     * @param idempotent whether running the statements twice does no harm, so that they may be sent again without key.
     */
    public fun write(
        database: String,
        kind: String,
        statements: List<Statement>,
        key: IdempotencyKey? = null,
        idempotent: Boolean = false,
        deadline: Duration? = null,
    ): Outcome<Answer> {
        val repeat = if (key != null || idempotent) Repeat.ALWAYS else Repeat.NOT_RUN
        val call = Call(POST, path(database, "write"), headers(kind, key), body(statements), repeat, deadline)
        return run(call).outcome.resolvable(database, kind, key)
    }

    /** Asks for the outcome of work that carried [key]. */
    public fun resolve(
        database: String,
        kind: String,
        key: IdempotencyKey,
        deadline: Duration? = null,
    ): Outcome<Answer> {
        val path = path(database, "outcomes/${encode(key.value)}")
        return run(Call(Method.GET, path, listOf(KIND to kind), "", Repeat.ALWAYS, deadline))
            .outcome
            .resolvable(database, kind, key)
    }

    /**
     * Runs [work] in an interactive transaction and commits it; a failed statement or an exception rolls it back. The
     * transaction stays at the entry that began it. A commit of unknown outcome is resolved by [key], where there is
     * one.
     *
     * @param deadline time within which each request of the transaction has its answer.
     */
    public fun <T> transaction(
        database: String,
        kind: String,
        key: IdempotencyKey? = null,
        deadline: Duration? = null,
        work: Transaction.() -> T,
    ): Outcome<T> = TransactionRunner(this, database, kind, key, deadline).run(work)

    internal fun run(call: Call): Attempt {
        places.acquire()
        try {
            return calls.run(call, sessionTokens)
        } finally {
            places.release()
        }
    }

    internal fun Outcome<Answer>.resolvable(database: String, kind: String, key: IdempotencyKey?): Outcome<Answer> =
        if (this is Outcome.Unknown) Outcome.Unknown(problem, key) { resolve(database, kind, it) } else this

    internal companion object {
        /** Most requests of one session at the same time. */
        const val MAXIMUM_PARALLEL = 8
        const val KIND = "Kumquatknot-Kind"
        private const val IDEMPOTENCY_KEY = "Idempotency-Key"

        fun path(database: String, rest: String): String = "/v1/databases/${encode(database)}/$rest"

        fun body(statements: List<Statement>): String =
            Json.encodeToString(StatementsBody.serializer(), StatementsBody(statements))

        fun headers(kind: String, key: IdempotencyKey?): List<Pair<String, String>> =
            listOfNotNull(KIND to kind, key?.let { IDEMPOTENCY_KEY to it.value })

        private fun encode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")
    }
}
