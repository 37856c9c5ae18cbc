package dev.kumquatknot.proxy.member

import dev.kumquatknot.core.admission.RefusalReason
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberFailure
import kotlin.time.Duration

/** Reason why a [MemberGateway] has no result. All but [Failed] prove that nothing ran at the member. */
public sealed interface GatewayFailure {
    /** The member behind the gateway. */
    public val member: MemberName

    /** Admission refused the work; the caller may retry after [retryAfter]. */
    public data class Refused(
        override val member: MemberName,
        val reason: RefusalReason,
        val retryAfter: Duration,
    ) : GatewayFailure

    /** No connection could be opened. */
    public data class ConnectFailed(val failure: MemberFailure) : GatewayFailure {
        override val member: MemberName get() = failure.member
    }

    /** The limit of interactive transactions is reached, or no connection became free before the deadline. */
    public data class NoFreeConnection(override val member: MemberName, val retryAfter: Duration) : GatewayFailure

    /** This VM does not serve the member any more; another VM holds its connections or will do so soon. */
    public data class NotServed(override val member: MemberName) : GatewayFailure

    /** The call to the member failed; [failure] tells whether the work may have run. */
    public data class Failed(val failure: MemberFailure) : GatewayFailure {
        override val member: MemberName get() = failure.member
    }
}
