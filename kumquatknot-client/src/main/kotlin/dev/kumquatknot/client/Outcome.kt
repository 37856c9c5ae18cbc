package dev.kumquatknot.client

import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Why a request did not get its answer (RFC 9457).
 *
 * @property type URN of the reason, stable across versions.
 * @property status HTTP status; 0 where no proxy answered.
 * @property instance identity of the request, as in the proxy's logs.
 * @property step step at which it failed.
 * @property peer other end at which it failed.
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
    /** When to come back, where that helps. */
    val retryAfter: Duration? get() = retryAfterMilliseconds?.milliseconds
}

/** What became of a request. */
public sealed interface Outcome<out T> {
    /** The work ran, its effect is kept, and [value] is its answer. */
    public data class Completed<out T>(val value: T) : Outcome<T>

    /** The request did not get its answer, for the reason [problem]. */
    public sealed interface Failed : Outcome<Nothing> {
        /** Why the request did not get its answer. */
        public val problem: Problem
    }

    /** The work ran and its effect is kept, but the answer could not be given, for example because of its size. */
    public data class CompletedWithoutAnswer(override val problem: Problem) : Failed

    /** It is proved that the work did not run. [retryAfter] tells when to come back, where that helps. */
    public data class NotRun(override val problem: Problem, val retryAfter: Duration?) : Failed

    /**
     * The work may or may not have run.
     *
     * @property key the idempotency key of the work; without one the outcome cannot be resolved.
     */
    public class Unknown internal constructor(
        override val problem: Problem,
        public val key: IdempotencyKey?,
        private val ask: ((IdempotencyKey) -> Outcome<Answer>)?,
    ) : Failed {
        /** Asks the proxy what became of the work; returns this outcome where the work carried no key. */
        public fun resolve(): Outcome<Answer> = if (key != null && ask != null) ask(key) else this

        override fun toString(): String = "Unknown(problem=$problem, key=$key)"
    }
}
