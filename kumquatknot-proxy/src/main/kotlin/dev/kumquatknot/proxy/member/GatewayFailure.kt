package dev.kumquatknot.proxy.member

import dev.kumquatknot.core.admission.RefusalReason
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberFailure
import kotlin.time.Duration

/** Why a [MemberGateway] has no result to give. All but [Failed] prove that nothing ran at the member. */
public sealed interface GatewayFailure {
    /** The member behind the gateway. */
    public val member: MemberName

    /** Admission refused the work; the caller may come back after [retryAfter]. */
    public data class Refused(
        override val member: MemberName,
        val reason: RefusalReason,
        val retryAfter: Duration,
    ) : GatewayFailure

    /** No connection could be opened. */
    public data class ConnectFailed(val failure: MemberFailure) : GatewayFailure {
        override val member: MemberName get() = failure.member
    }

    /** As many interactive transactions as allowed hold a connection, or none came free before the deadline. */
    public data class NoFreeConnection(override val member: MemberName, val retryAfter: Duration) : GatewayFailure

    /** This VM has given the member up; another one holds its connections now or soon. */
    public data class GivenUp(override val member: MemberName) : GatewayFailure

    /** The member was asked and [failure] came of it; the failure says what is known about the effect. */
    public data class Failed(val failure: MemberFailure) : GatewayFailure {
        override val member: MemberName get() = failure.member
    }
}
