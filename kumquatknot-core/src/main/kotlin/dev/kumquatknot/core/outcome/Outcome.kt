package dev.kumquatknot.core.outcome

import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Known effect of a request. */
@Serializable
public enum class Effect {
    /** The work ran and its effect is kept. */
    @SerialName("completed")
    COMPLETED,

    /** The work provably did not run and never will. */
    @SerialName("not-run")
    NOT_RUN,

    /** The work may or may not have run; an idempotency key lets the caller resolve it. */
    @SerialName("unknown")
    UNKNOWN,
}

/** The step of request processing at which a failure occurred. */
public enum class Step {
    PARSE,
    AUTHENTICATE,
    AUTHORIZE,
    ADMIT,
    ROUTE,
    RELAY,
    CONNECT,
    EXECUTE,
    COMMIT,
    CONFIRM,
    WAIT_FOR_REPLICA,
    RESOLVE,
    PROBE,
    PROMOTE,
    STORE,
    SHUTDOWN,
}

/** The party at which a failure occurred. */
public sealed interface Peer {
    /** The caller itself. */
    public data object Caller : Peer

    /** This VM. */
    public data object Local : Peer

    /** Another VM. */
    public data class Vm(val name: VmName) : Peer

    /** A backend server. */
    public data class Member(val name: MemberName) : Peer

    /** The platform's object API. */
    public data object Platform : Peer
}

/** Reason code of a failure. Callers branch on it, so the values are stable across versions. */
public enum class FailureReason {
    INVALID_REQUEST,
    UNAUTHENTICATED,
    FORBIDDEN,
    UNKNOWN_KIND,
    KEY_REQUIRED,
    KEY_REUSED,
    INVALID_TOKEN,
    TRANSACTION_ENDED,
    STATEMENT_FAILED,
    TOO_LARGE,
    OVERLOADED,
    DEADLINE_UNREACHABLE,
    DEADLINE_PASSED,
    NO_PRIMARY,
    NOT_FRESH_ENOUGH,
    SUPERSEDED,
    UNCONFIRMED,
    ABANDONED,
    CONNECTION_LOST,
    CONNECTION_REFUSED,
    VM_UNREACHABLE,
    SHUTTING_DOWN,
}

/**
 * A failed request.
 *
 * @property retryAfter time after which the caller should retry; null where a retry does not help.
 */
public data class Failure(
    val reason: FailureReason,
    val effect: Effect,
    val step: Step,
    val peer: Peer,
    val detail: String,
    val retryAfter: Duration? = null,
)
