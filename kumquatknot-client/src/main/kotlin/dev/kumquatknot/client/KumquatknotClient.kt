package dev.kumquatknot.client

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Settings of a [KumquatknotClient].
 *
 * @property entries base addresses of the proxy's entry points, such as `http://10.0.0.1:7400`; at least one.
 * @property teamKey the team's key.
 * @property deadline time within which a call ends where the call says nothing else.
 * @property grace time beyond the deadline in which the proxy's own final answer is still awaited.
 * @property shortestBackoff pause before the first retry where the proxy names none; it doubles with each attempt.
 */
public data class ClientSettings(
    val entries: List<String>,
    val teamKey: String,
    val deadline: Duration = 10.seconds,
    val grace: Duration = 500.milliseconds,
    val shortestBackoff: Duration = 20.milliseconds,
) {
    init {
        require(entries.isNotEmpty()) { "at least one entry address is needed" }
    }
}

/**
 * Client of kumquatknot's callers' interface. It carries the session token, idempotency keys and deadlines, and
 * retries by these rules, under [budget] and within the deadline:
 *
 * - work that was proved not to have run, after the time that the proxy asks for, at the next entry;
 * - reads, and writes that carry a key or are declared idempotent, also when their outcome is unknown;
 * - a commit of unknown outcome is never sent again but resolved by its key.
 *
 * Thread-safe.
 *
 * @param send carries requests; replace it to run without a network.
 * @param time source of monotonic time.
 * @param sleep waits before a retry.
 * @param random spreads retries and the first entry over callers.
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

    /** Starts a session, or goes on with one from the [tokens] of an earlier [Session.tokens]. */
    public fun session(tokens: Set<String> = emptySet()): Session = Session(calls, tokens)
}
