package dev.kumquatknot.proxy.feed

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.proxy.fleet.FeedSubscriptionPayload
import dev.kumquatknot.proxy.fleet.PeerListener
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.PeerNetwork
import dev.kumquatknot.proxy.interactive.NodeEnvironment
import dev.kumquatknot.proxy.interactive.RestingTimer
import dev.kumquatknot.proxy.interactive.WatchAnswer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Objects of one [kind] for this VM, from its own watch of the store or from another VM that watches it. All calls run
 * on the node's event loop, except of [maximumWait].
 *
 * @param isShared whether VMs share feeds; otherwise each watches the store itself.
 * @param sources the VMs that watch the store for this VM, in the order of preference.
 * @param setWatching starts or pauses this VM's own watch of the store.
 * @param onConfirmed called with the time for which the store confirmed the objects that this VM knows.
 * @param onObjects called with all objects and the era of the store, after each change.
 */
internal class SharedFeed(
    private val kind: String,
    self: VmName,
    private val environment: NodeEnvironment,
    private val network: PeerNetwork,
    private val isShared: () -> Boolean,
    private val sources: () -> List<VmName>,
    private val setWatching: (Boolean) -> Unit,
    private val onConfirmed: (Duration) -> Unit = {},
    private val onObjects: (List<StoredObject>, StoreEra) -> Unit,
) : PeerListener {
    private val subscription = FeedSubscription(self)
    private val publication = FeedPublication(kind)
    private var isWatching = true
    private val timer = RestingTimer(environment, UPDATE_INTERVAL) { now ->
        update()
        if (isShared()) now else Duration.INFINITE
    }

    /**
     * Longest wait of this VM's watch for changes. With subscribers it is short enough for the age of the last answer
     * to stay below [FeedSubscription.MAXIMUM_AGE]; without, the store's price counts.
     */
    @Volatile
    var maximumWait: Duration = Duration.INFINITE
        private set

    /** Time since the store confirmed the objects that this VM knows; null before its first answer. */
    val age: Duration? get() = subscription.confirmedAt?.let { environment.now() - it }

    /** Whether this VM watches the store itself. */
    val watchesStore: Boolean get() = isWatching

    /** Starts to share the feed. The own watch of the store is running already. */
    fun start() {
        network.addListener(this)
        timer.start()
    }

    /** Records an [answer] of the store to this VM's own watch. */
    fun answered(answer: WatchAnswer) {
        val news = subscription.record(answer)
        if (news != null) {
            publish()
            onObjects(news.objects, news.era)
        }
        subscription.confirmedAt?.let(onConfirmed)
    }

    override fun received(vm: VmName, message: PeerMessage) {
        message.feedSubscription?.takeIf { it.kind == kind }?.let { payload ->
            publication.subscribe(vm, payload, environment.now())
            limitWait()
            decide()
            send(vm)
        }
        message.feedUpdate?.takeIf { it.kind == kind }?.let { payload ->
            val news = subscription.receive(vm, payload, environment.now())
            decide()
            news?.let { onObjects(it.objects, it.era) }
            subscription.confirmedAt?.let(onConfirmed)
        }
    }

    override fun disconnected(vm: VmName) {
        publication.disconnected(vm)
        subscription.disconnected(vm)
        decide()
    }

    private fun update() {
        publish()
        limitWait()
        decide()
    }

    private fun decide() {
        val target = subscription.decide(environment.now(), isShared(), sources(), publication.hasSubscribers)
        if (subscription.watchesStore != isWatching) {
            isWatching = subscription.watchesStore
            setWatching(isWatching)
        }
        val known = subscription.state
        target?.let {
            val payload = FeedSubscriptionPayload(kind, known?.era?.value ?: 0, known?.revision ?: 0)
            network.send(it, PeerMessage(feedSubscription = payload))
        }
    }

    private fun limitWait() {
        maximumWait = if (publication.hasSubscribers) SHARED_WAIT else Duration.INFINITE
    }

    private fun publish() = publication.subscribersAt(environment.now()).forEach(::send)

    /** A VM that does not watch the store itself has nothing to tell; its subscribers then choose another source. */
    private fun send(vm: VmName) {
        val state = subscription.state
        val confirmedAt = subscription.confirmedAt
        if (!isWatching || state == null || confirmedAt == null) return
        val update = publication.updateFor(vm, state, environment.now() - confirmedAt) ?: return
        if (network.send(vm, PeerMessage(feedUpdate = update))) publication.recordSent(vm, state)
    }

    internal companion object {
        /**
         * Interval of updates and decisions. A subscriber learns within 2,800 ms that its source was lost or cut off
         * from the store: after the longest silence or the highest age, and one interval.
         */
        val UPDATE_INTERVAL: Duration = 800.milliseconds

        /** The store's answer comes some time after the wait. */
        val SHARED_WAIT: Duration = 1_500.milliseconds
    }
}
