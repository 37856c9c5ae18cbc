package dev.kumquatknot.core.outcome

import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** What is known about the effect of a request. */
@Serializable
public enum class Effect {
    /** The work ran and its effect is kept. */
    @SerialName("completed")
    COMPLETED,

    /** It is proved that the work did not run and never will. */
    @SerialName("not-run")
    NOT_RUN,

    /** The work may or may not have run; the idempotency key resolves it. */
    @SerialName("unknown")
    UNKNOWN,
}

/** The step of the path at which a failure arose. */
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

/** The other end at which a failure arose. */
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

/** Reason of a failure, stable across versions; callers branch on it. */
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
 * @property retryAfter when the caller should come back, where that helps.
 */
public data class Failure(
    val reason: FailureReason,
    val effect: Effect,
    val step: Step,
    val peer: Peer,
    val detail: String,
    val retryAfter: Duration? = null,
)
