package dev.kumquatknot.core.platform

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides how long the calls of a watch wait for changes and when a failed call is followed by the next one.
 *
 * Every change reaches the watching VM within [recovery] after the store is available again, or after the open
 * connections to it went silent while new ones work. A call that was sent before that moment gets no answer. The next
 * one may be sent on another connection that is silent, and the one after that is answered.
 *
 * A call that waits is sent only after an answered one; sent into an outage, it would outlast the outage.
 *
 * @param connectTimeout time after which an attempt to connect to the store is abandoned.
 * @param answerTimeout time, beyond the wait for changes, after which a call without an answer is abandoned.
 */
public class WatchPacing(recovery: Duration, connectTimeout: Duration, answerTimeout: Duration) {
    /** Maximum time for which a call waits for changes. */
    public val wait: Duration =
        (recovery - answerTimeout * 2 - FIRST_DELAY - SECOND_DELAY - EXCHANGE).coerceAtLeast(MINIMUM_WAIT)

    private val maximumDelay: Duration =
        ((recovery - connectTimeout - answerTimeout * 2 - EXCHANGE) / 2).coerceIn(FIRST_DELAY, MAXIMUM_DELAY)

    /** Returns the delay before the next call after [failures] failed calls in a row. */
    public fun delayAfter(failures: Int): Duration = (FIRST_DELAY * failures).coerceIn(FIRST_DELAY, maximumDelay)

    private companion object {
        val FIRST_DELAY = 100.milliseconds
        val SECOND_DELAY = FIRST_DELAY * 2

        /** More calls to a store that does not answer cost more and gain little. */
        val MAXIMUM_DELAY = 1.seconds
        val MINIMUM_WAIT = 500.milliseconds

        /** Time for an answered call and for applying what it returned. */
        val EXCHANGE = 300.milliseconds
    }
}
