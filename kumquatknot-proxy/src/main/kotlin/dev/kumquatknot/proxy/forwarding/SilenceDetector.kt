package dev.kumquatknot.proxy.forwarding

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What to do about a VM that is watched. */
internal sealed interface SilenceCheck {
    /** Nothing now; check again after [delay]. */
    data class Wait(val delay: Duration) : SilenceCheck

    /** Ask for a sign of life and check again after [delay]. */
    data class Ping(val delay: Duration) : SilenceCheck

    /** The VM has not reacted to the ping; drop the link to it. */
    data object Silent : SilenceCheck
}

/**
 * Decides whether a VM that is watched since [since] is alive. Any message of that VM is a sign of life.
 *
 * @param pingAfter time without a message after which the VM is pinged.
 * @param dropAfterPing time from the ping until the VM counts as silent.
 */
internal class SilenceDetector(
    since: Duration,
    private val pingAfter: Duration,
    private val dropAfterPing: Duration,
) {
    private var quietSince = since
    private var pingedAt: Duration? = null
    private var checkDueAt = since + pingAfter

    /** Records a message of the VM, or that it was not watched until now. */
    fun recordSign(now: Duration) {
        quietSince = now
        pingedAt = null
    }

    /** Decides at [now]; to be called at the time that the previous check returned, first after [pingAfter]. */
    fun check(now: Duration): SilenceCheck {
        // After a pause of this VM's own, messages that arrived meanwhile may not have been read yet.
        if (now - checkDueAt > MAXIMUM_DELAY) recordSign(now)
        val pinged = pingedAt
        val quiet = now - quietSince
        // Checks are at most pingAfter apart: with longer delays, a sign between two of them would delay the next ping.
        return when {
            pinged != null && now - pinged >= dropAfterPing -> SilenceCheck.Silent
            pinged != null -> SilenceCheck.Wait(minOf(dropAfterPing - (now - pinged), pingAfter)).due(now)
            quiet >= pingAfter -> {
                pingedAt = now
                SilenceCheck.Ping(minOf(dropAfterPing, pingAfter)).due(now)
            }
            else -> SilenceCheck.Wait(pingAfter - quiet).due(now)
        }
    }

    private fun SilenceCheck.due(now: Duration): SilenceCheck = also {
        checkDueAt = now + when (it) {
            is SilenceCheck.Wait -> it.delay
            is SilenceCheck.Ping -> it.delay
            is SilenceCheck.Silent -> Duration.ZERO
        }
    }

    private companion object {
        /** Delay of a check beyond which this VM itself was paused. */
        val MAXIMUM_DELAY = 100.milliseconds
    }
}
