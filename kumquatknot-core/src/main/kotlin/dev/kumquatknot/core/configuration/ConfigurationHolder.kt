package dev.kumquatknot.core.configuration

import java.util.concurrent.atomic.AtomicReference

/** What became of a configuration offered to a [ConfigurationHolder]. */
public sealed interface ConfigurationOffer {
    /** The configuration is in force now; [previous] was before. */
    public data class Accepted(val previous: FleetConfiguration) : ConfigurationOffer

    /** One with the same or a higher number is in force already. */
    public data class NotNewer(val inForce: Long) : ConfigurationOffer
}

/**
 * Holds the configuration in force on this node. It only ever moves to a higher number, whoever brings it: the
 * platform, a peer, or a read that was answered late.
 */
public class ConfigurationHolder(initial: FleetConfiguration = FleetConfiguration.EMPTY) {
    private val inForce = AtomicReference(initial)

    /** The configuration in force. */
    public val current: FleetConfiguration get() = inForce.get()

    /** Puts [candidate] in force if its number is higher than that of the current one. */
    public fun offer(candidate: FleetConfiguration): ConfigurationOffer {
        val previous = inForce.getAndUpdate { if (candidate.number > it.number) candidate else it }
        return if (candidate.number > previous.number) {
            ConfigurationOffer.Accepted(previous)
        } else {
            ConfigurationOffer.NotNewer(previous.number)
        }
    }
}
