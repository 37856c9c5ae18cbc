package dev.kumquatknot.proxy.caller

import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.http4k.core.Response
import org.http4k.core.Status
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Problem details of a failed request (RFC 9457).
 *
 * @property type last part of the problem's URN, stable across versions.
 * @property failure what failed, at which step and peer, and what is known of its effect.
 */
internal data class Problem(val type: String, val status: Int, val failure: Failure) {
    /** Returns the HTTP response to [request]. */
    fun toResponse(request: RequestId): Response =
        Response(Status(status, title()))
            .header("Content-Type", CONTENT_TYPE)
            .headers(retryAndAuthenticationHeaders())
            .body(Json.encodeToString(JsonObject.serializer(), details(request)))

    private fun retryAndAuthenticationHeaders(): List<Pair<String, String>> =
        listOfNotNull(
            failure.retryAfter?.let { "Retry-After" to it.roundedUpSeconds().toString() },
            if (status == UNAUTHORIZED) "WWW-Authenticate" to "Bearer" else null,
        )

    private fun details(request: RequestId): JsonObject =
        buildJsonObject {
            put("type", "$URN_PREFIX$type")
            put("title", title())
            put("status", status)
            put("detail", failure.detail)
            put("instance", request.value)
            put("step", failure.step.label())
            put("peer", failure.peer.label())
            put("effect", failure.effect.label())
            failure.retryAfter?.let { put("retryAfterMilliseconds", it.inWholeMilliseconds) }
        }

    private fun title(): String = type.replace('-', ' ').replaceFirstChar { it.uppercase() }

    private fun Duration.roundedUpSeconds(): Long {
        val seconds = toLong(DurationUnit.SECONDS)
        return if (inWholeMilliseconds % MILLIS_PER_SECOND == 0L) seconds else seconds + 1
    }

    companion object {
        const val CONTENT_TYPE = "application/problem+json"
        const val URN_PREFIX = "urn:kumquatknot:problem:"
        private const val MILLIS_PER_SECOND = 1_000L
        private const val BAD_REQUEST = 400
        private const val UNAUTHORIZED = 401
        private const val FORBIDDEN = 403
        private const val NOT_FOUND = 404
        private const val METHOD_NOT_ALLOWED = 405
        private const val CONFLICT = 409
        private const val CONTENT_TOO_LARGE = 413
        private const val UNPROCESSABLE = 422
        private const val TOO_MANY_REQUESTS = 429
        private const val INTERNAL_ERROR = 500
        private const val BAD_GATEWAY = 502
        private const val UNAVAILABLE = 503
        private const val GATEWAY_TIMEOUT = 504

        /** Returns the problem that reports [failure] to a caller. */
        fun of(failure: Failure): Problem = Problem(failure.reason.label(), statusOf(failure), failure)

        /** Returns the problem of a request for something that does not exist; [missing] names it, such as `route`. */
        fun missing(missing: String, step: Step, detail: String): Problem =
            Problem("unknown-$missing", NOT_FOUND, callerError(FailureReason.INVALID_REQUEST, step, detail))

        /** Returns the problem of an HTTP method that the route does not support. */
        fun methodNotAllowed(detail: String): Problem =
            Problem(
                "method-not-allowed",
                METHOD_NOT_ALLOWED,
                callerError(FailureReason.INVALID_REQUEST, Step.PARSE, detail),
            )

        /** Returns the problem of a request that failed with an unexpected exception: its effect is unknown. */
        fun internalError(): Problem {
            val detail = "the VM met an unexpected error"
            val failure = Failure(FailureReason.CONNECTION_LOST, Effect.UNKNOWN, Step.EXECUTE, Peer.Local, detail)
            return Problem("internal-error", INTERNAL_ERROR, failure)
        }

        /** Returns a failure that the caller caused, detected before any work ran. */
        fun callerError(reason: FailureReason, step: Step, detail: String): Failure =
            Failure(reason, Effect.NOT_RUN, step, Peer.Caller, detail)

        private fun statusOf(failure: Failure): Int =
            when (failure.reason) {
                FailureReason.INVALID_REQUEST, FailureReason.KEY_REQUIRED, FailureReason.INVALID_TOKEN -> BAD_REQUEST
                FailureReason.UNAUTHENTICATED -> UNAUTHORIZED
                FailureReason.FORBIDDEN -> FORBIDDEN
                FailureReason.UNKNOWN_KIND, FailureReason.ABANDONED -> NOT_FOUND
                FailureReason.TRANSACTION_ENDED -> CONFLICT
                FailureReason.TOO_LARGE -> CONTENT_TOO_LARGE
                FailureReason.STATEMENT_FAILED, FailureReason.KEY_REUSED -> UNPROCESSABLE
                FailureReason.DEADLINE_PASSED, FailureReason.UNCONFIRMED -> GATEWAY_TIMEOUT
                else -> if (failure.effect == Effect.NOT_RUN) notRunStatus(failure.reason) else BAD_GATEWAY
            }

        private fun notRunStatus(reason: FailureReason): Int =
            when (reason) {
                FailureReason.OVERLOADED, FailureReason.DEADLINE_UNREACHABLE -> TOO_MANY_REQUESTS
                else -> UNAVAILABLE
            }
    }
}

/** Returns the name of an enum constant in the form that callers see: lower case with hyphens. */
internal fun Enum<*>.label(): String = name.lowercase().replace('_', '-')

/** Returns the peer of a failure in the form that callers see. */
internal fun Peer.label(): String =
    when (this) {
        Peer.Caller -> "caller"
        Peer.Local -> "local"
        Peer.Platform -> "platform"
        is Peer.Vm -> "vm:$name"
        is Peer.Member -> "member:$name"
    }
