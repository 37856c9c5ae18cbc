package dev.kumquatknot.standin.database

import dev.kumquatknot.core.identity.VmName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Fault switch of one stand-in member. Each stays in effect until it is set again or [Heal] resets it. */
@Serializable
public sealed interface MemberFault {
    /** Drops everything to and from [vms], or every VM if null: calls get no answer and new ones do not arrive. */
    @Serializable
    @SerialName("isolate-from-vms")
    public data class IsolateFromVms(val vms: Set<VmName>? = null) : MemberFault

    /** Drops replication to and from the other members. */
    @Serializable
    @SerialName("isolate-from-members")
    public data object IsolateFromMembers : MemberFault

    /** Stops the member: its connections are lost, its log and accepted term stay. */
    @Serializable
    @SerialName("stop")
    public data object Stop : MemberFault

    /** Starts a stopped member, in the role that it had. */
    @Serializable
    @SerialName("start")
    public data object Start : MemberFault

    /**
     * Drops all answers on the connections that are open now, permanently; new connections work. A batch sent on an
     * affected connection gets no answer; the seed determines whether it runs.
     */
    @Serializable
    @SerialName("silence-connections")
    public data object SilenceConnections : MemberFault

    /** Delays each answer to a batch by [millis] milliseconds. */
    @Serializable
    @SerialName("delay-answers")
    public data class DelayAnswers(val millis: Long) : MemberFault

    /** Drops the answers to the next [count] commits, which take effect. */
    @Serializable
    @SerialName("lose-commit-answers")
    public data class LoseCommitAnswers(val count: Int = 1) : MemberFault

    /** Multiplies the service time by [factor]. */
    @Serializable
    @SerialName("slow-down")
    public data class SlowDown(val factor: Double) : MemberFault

    /** Sets the replication lag of this member to [millis] milliseconds. */
    @Serializable
    @SerialName("set-replication-lag")
    public data class SetReplicationLag(val millis: Long) : MemberFault

    /** Ends isolation, delay, loss and slowdown. Silenced connections stay silent, a stopped member stays stopped. */
    @Serializable
    @SerialName("heal")
    public data object Heal : MemberFault
}
