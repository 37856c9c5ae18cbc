package dev.kumquatknot.standin.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Fault switch of the stand-in platform. Each stays as set until it is set anew or [Heal] comes. */
@Serializable
public sealed interface PlatformFault {
    /** Refuses every call before it has an effect. */
    @Serializable
    @SerialName("refuse")
    public data object Refuse : PlatformFault

    /** Gives no answer to any call; a change has no effect. */
    @Serializable
    @SerialName("outage")
    public data object Outage : PlatformFault

    /** Holds each call for [millis] milliseconds more. */
    @Serializable
    @SerialName("slow-down")
    public data class SlowDown(val millis: Long) : PlatformFault

    /** Loses the answers of the next [count] writes after their effect. */
    @Serializable
    @SerialName("lose-write-answers")
    public data class LoseWriteAnswers(val count: Int = 1) : PlatformFault

    /** Ends all faults. */
    @Serializable
    @SerialName("heal")
    public data object Heal : PlatformFault
}
