package dev.kumquatknot.proxy.distribution

import arrow.core.Either
import dev.kumquatknot.core.configuration.ConfigurationHolder
import dev.kumquatknot.core.configuration.ConfigurationOffer
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.membership.VmRecord
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.peer.PeerPort
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Called after a new configuration is in force. */
internal typealias ConfigurationListener = (FleetConfiguration) -> Unit

/**
 * Keeps the configuration of this node up to date. New configurations come from the platform by a long-polling watch
 * and from peers, which send their configuration number with every probe. Either source suffices; a configuration with
 * a lower number is never accepted.
 */
internal class ConfigurationUpdater(
    private val holder: ConfigurationHolder,
    private val store: ObjectStore,
    private val peers: PeerPort,
    private val events: EventLog,
    private val onAccepted: ConfigurationListener,
) {
    private val storeAvailable = AtomicBoolean(true)
    private val fetching = AtomicBoolean(false)
    private var knownVersion = ObjectVersion.ABSENT

    /** Number of the configuration in force. */
    val number: Long get() = holder.current.number

    /** Reads the configuration from the platform once; returns whether the platform answered. */
    fun readFromStore(): Boolean = handleStoreReply(store.read(FleetConfiguration.STORE_KEY))

    /** Waits at most [WATCH_TIMEOUT] for a newer version at the platform; returns whether the platform answered. */
    fun watchStore(): Boolean = handleStoreReply(store.watch(FleetConfiguration.STORE_KEY, knownVersion, WATCH_TIMEOUT))

    /** Fetches the configuration of [peer] if its number is higher; does nothing while another fetch is running. */
    fun fetchFrom(peer: VmRecord) {
        if (!fetching.compareAndSet(false, true)) return
        try {
            peers.configuration(peer, number, FETCH_TIMEOUT).onRight { peerConfiguration ->
                peerConfiguration.configuration?.let { offer(it, peer.name.value) }
            }
        } finally {
            fetching.set(false)
        }
    }

    private fun handleStoreReply(answer: Either<StoreFailure, StoredObject?>): Boolean = answer.fold(
        { failure ->
            if (storeAvailable.getAndSet(false)) events.log(Event.STORE_UNAVAILABLE, "detail" to failure.toString())
            false
        },
        { found ->
            if (!storeAvailable.getAndSet(true)) events.log(Event.STORE_AVAILABLE)
            found?.let(::handleStoredObject)
            true
        },
    )

    private fun handleStoredObject(found: StoredObject) {
        knownVersion = found.version
        try {
            offer(Json.decodeFromString(FleetConfiguration.serializer(), found.value), "platform")
        } catch (invalid: SerializationException) {
            events.log(Event.CONFIGURATION_REFUSED, "version" to found.version.value, cause = invalid)
        }
    }

    private fun offer(candidate: FleetConfiguration, source: String) {
        if (holder.offer(candidate) !is ConfigurationOffer.Accepted) return
        events.log(Event.CONFIGURATION_ACCEPTED, "number" to candidate.number, "source" to source)
        onAccepted(candidate)
    }

    companion object {
        /** Longest time for which the platform holds a watch request open. */
        val WATCH_TIMEOUT: Duration = 25.seconds

        /** Pause after a failed call to the platform. */
        val RETRY_PAUSE: Duration = 1.seconds

        private val FETCH_TIMEOUT = 5.seconds
    }
}
