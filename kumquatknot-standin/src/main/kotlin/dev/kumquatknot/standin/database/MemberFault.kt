package dev.kumquatknot.standin.database

import dev.kumquatknot.core.identity.VmName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Fault switch of one stand-in member. Each stays as set until it is set anew or [Heal] comes. */
@Serializable
public sealed interface MemberFault {
    /** Drops everything to and from [vms], or every VM where null: calls get no answer, nothing new arrives. */
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
     * Makes the connections that are open now silent for good, while new ones work. A batch sent on one of them gets no
     * answer; the seed decides whether it runs.
     */
    @Serializable
    @SerialName("silence-connections")
    public data object SilenceConnections : MemberFault

    /** Gives each answer to a batch [millis] milliseconds late. */
    @Serializable
    @SerialName("delay-answers")
    public data class DelayAnswers(val millis: Long) : MemberFault

    /** Loses the answers of the next [count] commits after their effect. */
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

    /** Ends isolation, delay, loss and slowness; a silent connection stays silent, a stopped member stopped. */
    @Serializable
    @SerialName("heal")
    public data object Heal : MemberFault
}
