package dev.kumquatknot.client

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Problem details of a request that got no answer (RFC 9457).
 *
 * @property type URN of the reason, stable across versions.
 * @property status HTTP status; 0 if no proxy answered.
 * @property instance ID of the request, as in the proxy's logs.
 * @property step step in which the request failed.
 * @property peer remote end at which the request failed.
 * @property effect `completed`, `not-run` or `unknown`.
 */
@Serializable
public data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val instance: String? = null,
    val step: String,
    val peer: String,
    val effect: String,
    val retryAfterMilliseconds: Long? = null,
) {
    /** Time after which a retry may help, or null if a retry does not help. */
    val retryAfter: Duration? get() = retryAfterMilliseconds?.milliseconds
}

/** Outcome of a request. */
public sealed interface Outcome<out T> {
    /** The work ran, its effect is kept, and [value] is its answer. */
    public data class Completed<out T>(val value: T) : Outcome<T>

    /** The request got no answer, for the reason [problem]. */
    public sealed interface Failed : Outcome<Nothing> {
        /** Reason why the request got no answer. */
        public val problem: Problem
    }

    /** The work ran and its effect is kept, but its answer could not be returned, for example because of its size. */
    public data class CompletedWithoutAnswer(override val problem: Problem) : Failed

    /** The work is proved not to have run. A retry may help after [retryAfter]; null if a retry does not help. */
    public data class NotRun(override val problem: Problem, val retryAfter: Duration?) : Failed

    /**
     * The work may or may not have run.
     *
     * @property key the idempotency key of the work; without one the outcome cannot be resolved.
     */
    public class Unknown internal constructor(
        override val problem: Problem,
        public val key: IdempotencyKey?,
        private val resolveByKey: ((IdempotencyKey) -> Outcome<Answer>)?,
    ) : Failed {
        /** Asks the proxy for the outcome of the work; returns this outcome if the work had no key. */
        public fun resolve(): Outcome<Answer> = if (key != null && resolveByKey != null) resolveByKey(key) else this

        override fun toString(): String = "Unknown(problem=$problem, key=$key)"
    }
}
