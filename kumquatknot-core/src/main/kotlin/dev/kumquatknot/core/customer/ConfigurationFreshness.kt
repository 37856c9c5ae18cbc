package dev.kumquatknot.core.customer

import kotlin.time.Duration

/**
 * Whether the configuration is recent enough to decide by it which keys are valid.
 *
 * @param revokeWithin time within which a withdrawn key must be rejected; null if there is no such time.
 * @param isStrict whether keys are rejected while the configuration is unconfirmed for longer than that. Otherwise they
 * stay valid while the store is unavailable.
 */
public class ConfigurationFreshness(private val revokeWithin: Duration?, private val isStrict: Boolean) {
    private var confirmedAt: Duration? = null

    /** The store showed the configuration as it was [at]. */
    public fun confirmed(at: Duration) {
        confirmedAt = maxOf(at, confirmedAt ?: at)
    }

    /** Whether keys may be checked by the configuration in force. */
    public fun isSufficient(now: Duration): Boolean {
        if (!isStrict || revokeWithin == null) return true
        val last = confirmedAt ?: return false
        return now - last <= revokeWithin
    }

    public companion object {
        /** Keys stay valid until another configuration arrives. */
        public val UNBOUNDED: ConfigurationFreshness get() = ConfigurationFreshness(null, isStrict = false)
    }
}
