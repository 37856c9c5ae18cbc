package dev.kumquatknot.core.configuration

import java.util.concurrent.atomic.AtomicReference

/** Result of offering a configuration to a [ConfigurationHolder]. */
public sealed interface ConfigurationOffer {
    /** The configuration is now in force and replaces [previous]. */
    public data class Accepted(val previous: FleetConfiguration) : ConfigurationOffer

    /** The configuration in force, number [inForce], has the same or a higher number. */
    public data class NotNewer(val inForce: Long) : ConfigurationOffer
}

/**
 * Holds the configuration in force on this node. Its number only increases, whatever the source: the platform, a peer,
 * or the response to a delayed read. Thread-safe.
 */
public class ConfigurationHolder(initial: FleetConfiguration = FleetConfiguration.EMPTY) {
    private val inForce = AtomicReference(initial)

    /** The configuration in force. */
    public val current: FleetConfiguration get() = inForce.get()

    /** Puts [candidate] in force if its number is higher than the current one. */
    public fun offer(candidate: FleetConfiguration): ConfigurationOffer {
        val previous = inForce.getAndUpdate { if (candidate.number > it.number) candidate else it }
        return if (candidate.number > previous.number) {
            ConfigurationOffer.Accepted(previous)
        } else {
            ConfigurationOffer.NotNewer(previous.number)
        }
    }
}
