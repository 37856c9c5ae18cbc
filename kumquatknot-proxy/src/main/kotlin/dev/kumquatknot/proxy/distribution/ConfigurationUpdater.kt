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
import dev.kumquatknot.core.platform.WatchPacing
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
    private var failedWatches = 0

    /** Number of the configuration in force. */
    val number: Long get() = holder.current.number

    /** Reads the configuration from the platform once; returns whether the platform answered. */
    fun readFromStore(): Boolean = handleStoreReply(store.read(FleetConfiguration.STORE_KEY))

    /** Delay before the next call of [watchStore] after one that the platform did not answer. */
    val retryDelay: Duration get() = pacing.delayAfter(failedWatches)

    /**
     * Waits for a newer version at the platform; returns whether the platform answered. After a failed call it only
     * reads the current version, since a call that waits would outlast an outage into which it is sent.
     */
    fun watchStore(): Boolean {
        val isAnswered = if (failedWatches > 0) {
            readFromStore()
        } else {
            handleStoreReply(store.watch(FleetConfiguration.STORE_KEY, knownVersion, pacing.wait))
        }
        failedWatches = if (isAnswered) 0 else failedWatches + 1
        return isAnswered
    }

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
        /** Time within which an accepted configuration is in force everywhere. */
        private val APPLICATION_TIME = 15.seconds
        private val pacing = WatchPacing(APPLICATION_TIME, ObjectStore.CALL_TIMEOUT, ObjectStore.CALL_TIMEOUT)
        private val FETCH_TIMEOUT = 5.seconds
    }
}
