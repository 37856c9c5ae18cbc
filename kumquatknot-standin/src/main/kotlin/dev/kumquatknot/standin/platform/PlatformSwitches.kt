package dev.kumquatknot.standin.platform

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The fault switches of the stand-in platform. */
internal class PlatformSwitches {
    private var refusing = false
    private var silent = false
    private var answersToLose = 0
    private var delay = Duration.ZERO

    val slowness: Duration @Synchronized get() = delay

    @Synchronized
    fun set(fault: PlatformFault) {
        when (fault) {
            PlatformFault.Refuse -> refusing = true
            PlatformFault.Outage -> silent = true
            is PlatformFault.SlowDown -> delay = fault.millis.milliseconds
            is PlatformFault.LoseWriteAnswers -> answersToLose = fault.count
            PlatformFault.Heal -> heal()
        }
    }

    /** The failure of a call that arrives now, before it has an effect. */
    @Synchronized
    fun failure(): PlatformFailure? = when {
        refusing -> PlatformFailure.Refused
        silent -> PlatformFailure.NoAnswer
        else -> null
    }

    @Synchronized
    fun takeLostAnswer(): Boolean {
        if (answersToLose == 0) return false
        answersToLose--
        return true
    }

    private fun heal() {
        refusing = false
        silent = false
        answersToLose = 0
        delay = Duration.ZERO
    }
}
