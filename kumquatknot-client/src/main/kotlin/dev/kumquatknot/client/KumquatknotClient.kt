package dev.kumquatknot.client

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Settings of a [KumquatknotClient].
 *
 * @property entries base URLs of the proxy's entries, such as `http://10.0.0.1:7400`; at least one.
 * @property teamKey key that authenticates the team.
 * @property deadline time within which a call ends, unless the call has its own deadline.
 * @property grace time beyond the deadline during which the proxy's final answer is still awaited.
 * @property initialBackoff pause before the first retry if the proxy requests none; it doubles with each attempt.
 */
public data class ClientSettings(
    val entries: List<String>,
    val teamKey: String,
    val deadline: Duration = 10.seconds,
    val grace: Duration = 500.milliseconds,
    val initialBackoff: Duration = 20.milliseconds,
) {
    init {
        require(entries.isNotEmpty()) { "entries is empty: the client needs the base URL of at least one entry" }
    }
}

/**
 * Client of the proxy's HTTP API. It sends session tokens, idempotency keys and deadlines, and retries failed calls
 * within [budget] and the deadline by these rules:
 *
 * - work that is proved not to have run is sent to the next entry, after the time that the proxy requests;
 * - reads, and writes with a key or declared idempotent, are also sent again if their outcome is unknown;
 * - a commit of unknown outcome is never sent again but resolved by its key.
 *
 * Thread-safe.
 *
 * @param send sends requests; replace it to run without a network.
 * @param time source of monotonic time.
 * @param sleep waits before a retry.
 * @param random source of jitter for retries and of the first entry, which spreads callers over the entries.
 */
public class KumquatknotClient(
    settings: ClientSettings,
    send: SendRequest = JavaTransport()::send,
    budget: RetryBudget = RetryBudget(),
    time: TimeSource = TimeSource.Monotonic,
    sleep: (Duration) -> Unit = { Thread.sleep(it.inWholeMilliseconds) },
    random: Random = Random.Default,
) {
    private val calls = CallRunner(settings, send, budget, time, sleep, random)

    /** Starts a session, or continues one with the [tokens] that an earlier [Session.tokens] returned. */
    public fun session(tokens: Set<String> = emptySet()): Session = Session(calls, tokens)
}
