package dev.kumquatknot.client

import kotlinx.serialization.json.Json
import org.http4k.core.Method
import org.http4k.core.Method.POST
import java.net.URLEncoder
import java.util.concurrent.Semaphore
import kotlin.time.Duration

/**
 * A session with read-your-writes consistency at every entry. Up to [MAXIMUM_PARALLEL] requests of a session run in
 * parallel; further requests wait. Thread-safe.
 */
public class Session internal constructor(private val calls: CallRunner, tokens: Set<String>) {
    private val sessionTokens = SessionTokens(tokens)
    private val requestPermits = Semaphore(MAXIMUM_PARALLEL)

    /** Tokens to continue this session elsewhere, stored for example in a cookie; small, and opaque to callers. */
    public val tokens: Set<String> get() = sessionTokens.current()

    /**
     * Runs read-only statements.
     *
     * @param maximumAge maximum age of the data; it takes effect only if it is stricter than that of the kind.
     * @param deadline time within which the answer is needed; null for the deadline of the client settings.
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
        return run(Call(POST, path(database, "read"), headers, body(statements), RetryCondition.ALWAYS, deadline))
            .outcome
    }

    /**
     * Runs statements in one transaction.
     *
     * @param key makes the work run at most once; kinds of work that run at most once require one.
     * @param idempotent whether the statements may safely run twice, so that they may be sent again without a key.
     */
    public fun write(
        database: String,
        kind: String,
        statements: List<Statement>,
        key: IdempotencyKey? = null,
        idempotent: Boolean = false,
        deadline: Duration? = null,
    ): Outcome<Answer> {
        val retryCondition = if (key != null || idempotent) RetryCondition.ALWAYS else RetryCondition.NOT_RUN
        val call = Call(POST, path(database, "write"), headers(kind, key), body(statements), retryCondition, deadline)
        return run(call).outcome.resolvable(database, kind, key)
    }

    /** Queries the outcome of the work with [key]. */
    public fun resolve(
        database: String,
        kind: String,
        key: IdempotencyKey,
        deadline: Duration? = null,
    ): Outcome<Answer> {
        val path = path(database, "outcomes/${encode(key.value)}")
        return run(Call(Method.GET, path, listOf(KIND to kind), "", RetryCondition.ALWAYS, deadline))
            .outcome
            .resolvable(database, kind, key)
    }

    /**
     * Runs [work] in an interactive transaction and commits it; a failed statement or an exception rolls it back. All
     * requests of the transaction go to the entry that began it. A commit of unknown outcome is resolved by [key], if
     * there is one.
     *
     * @param deadline time limit of each request of the transaction; null for the deadline of the client settings.
     */
    public fun <T> transaction(
        database: String,
        kind: String,
        key: IdempotencyKey? = null,
        deadline: Duration? = null,
        work: Transaction.() -> T,
    ): Outcome<T> = TransactionRunner(this, database, kind, key, deadline).run(work)

    internal fun run(call: Call): Attempt {
        requestPermits.acquire()
        try {
            return calls.run(call, sessionTokens)
        } finally {
            requestPermits.release()
        }
    }

    internal fun Outcome<Answer>.resolvable(database: String, kind: String, key: IdempotencyKey?): Outcome<Answer> =
        if (this is Outcome.Unknown) Outcome.Unknown(problem, key) { resolve(database, kind, it) } else this

    internal companion object {
        /** Maximum number of parallel requests of one session. */
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
