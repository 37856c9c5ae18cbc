package dev.kumquatknot.proxy.feed

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.proxy.fleet.FeedObjectPayload
import dev.kumquatknot.proxy.fleet.FeedUpdatePayload
import dev.kumquatknot.proxy.interactive.WatchAnswer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides for one VM and one kind of objects whether the VM watches the store itself or relies on the feed of another
 * VM, and which of the states that arrive from both are news.
 *
 * A feed is trusted while its source sends updates that are recent and not behind what this VM knows. Until then, and
 * as soon as it is no longer trusted, this VM watches the store.
 *
 * Confined to one thread.
 */
internal class FeedSubscription(private val self: VmName) {
    private var heardAt: Duration? = null
    private var subscribedAt = -Duration.INFINITE
    private var trustedAt = -Duration.INFINITE
    private var announcedAt = -Duration.INFINITE
    private var reportedAge = Duration.INFINITE
    private var returnDelay = SHORTEST_RETURN_DELAY

    /** The newest known state; null before the first one. */
    var state: FeedState? = null
        private set

    /** Time, on this VM's clock, at which the store confirmed [state]; null before the first answer. */
    var confirmedAt: Duration? = null
        private set

    /** The VM whose feed this one is subscribed to; null if it watches the store for itself or for others. */
    var source: VmName? = null
        private set

    /** Whether this VM watches the store itself. */
    var watchesStore: Boolean = true
        private set

    /**
     * Decides anew at [now] and returns the VM to which a subscription is sent now; null if none is.
     *
     * @param isShared whether VMs share feeds at all.
     * @param sources the VMs that watch the store for others, in the order of preference. The first of them watches it
     * in any case, a further one while the ones before it don't serve.
     * @param hasSubscribers whether other VMs rely on this one, as they do not reach the sources before it.
     */
    fun decide(
        now: Duration,
        isShared: Boolean,
        sources: List<VmName>,
        hasSubscribers: Boolean = false,
    ): VmName? {
        val preferred = sources.takeWhile { it != self }
        val isNeeded = hasSubscribers && self in sources
        if (!isShared || preferred.isEmpty() || isNeeded) {
            source = null
            watchesStore = true
            return null
        }
        chooseSource(now, preferred)
        watchesStore = !isTrusted(now)
        if (now - announcedAt < ANNOUNCEMENT_INTERVAL) return null
        announcedAt = now
        return source
    }

    private fun chooseSource(now: Duration, sources: List<VmName>) {
        val current = source
        val index = sources.indexOf(current)
        val isSilent = now - (heardAt ?: subscribedAt) > MAXIMUM_SILENCE
        if (isTrusted(now)) trustedAt = now
        val isOutdated = now - maxOf(subscribedAt, trustedAt) > MAXIMUM_CATCH_UP
        when {
            current == null || index < 0 -> subscribe(sources.first(), now)
            isSilent || isOutdated -> {
                if (index == 0) returnDelay = minOf(returnDelay * 2, LONGEST_RETURN_DELAY)
                subscribe(sources[(index + 1) % sources.size], now)
            }
            index > 0 && now - subscribedAt > returnDelay -> returnTo(sources.first(), now)
            index == 0 && now - subscribedAt > returnDelay -> returnDelay = SHORTEST_RETURN_DELAY
        }
    }

    private fun subscribe(next: VmName, now: Duration) {
        returnTo(next, now)
        heardAt = null
        reportedAge = Duration.INFINITE
    }

    /** Subscribes to [preferred] and goes on trusting the former source until [preferred] is due to answer. */
    private fun returnTo(preferred: VmName, now: Duration) {
        source = preferred
        subscribedAt = now
        announcedAt = -Duration.INFINITE
    }

    private fun isTrusted(now: Duration): Boolean =
        heardAt?.let { now - it <= MAXIMUM_SILENCE } ?: false && reportedAge <= MAXIMUM_AGE

    /** Records that the link to [vm] was lost; updates that were on their way may be lost. */
    fun disconnected(vm: VmName) {
        if (vm != source) return
        heardAt = null
        reportedAge = Duration.INFINITE
        subscribedAt = -Duration.INFINITE
    }

    /** Records [update], which [vm] sent, and returns the state if its objects are news. */
    fun receive(vm: VmName, update: FeedUpdatePayload, now: Duration): FeedState? {
        if (vm != source) return null
        heardAt = now
        reportedAge = Duration.INFINITE
        val era = StoreEra(update.era)
        val known = state
        // A source that is behind does not confirm what this VM knows.
        if (known?.isNewerThan(era, update.revision) ?: false) return null
        val isComplete = known != null && known.era == era && update.changedAt <= known.revision
        if (update.isUnchanged && !isComplete) {
            // An update was lost; the source sends the objects when it learns what this VM has.
            announcedAt = -Duration.INFINITE
            return null
        }
        reportedAge = update.ageMillis.milliseconds
        confirmedAt = maxOf(confirmedAt ?: -Duration.INFINITE, now - reportedAge)
        val objects = if (isComplete) checkNotNull(known).objects else update.objects.map { it.toStoredObject() }
        state = FeedState(objects, update.revision, era, update.changedAt)
        return state.takeIf { !isComplete }
    }

    /** Records an [answer] of the store to this VM's own watch, and returns the state if its objects are news. */
    fun record(answer: WatchAnswer): FeedState? {
        val known = state
        val isOlder = known?.isNewerThan(answer.era, answer.revision) ?: false
        // The answer to a call that was sent before the watch was paused. Otherwise the store itself tells what holds.
        if (isOlder && !watchesStore) return null
        val objects = answer.objects ?: known?.takeIf { it.era == answer.era }?.objects ?: return null
        val isSame = known != null && known.era == answer.era && known.objects == objects
        confirmedAt = answer.at
        val changedAt = if (isSame) minOf(checkNotNull(known).changedAt, answer.revision) else answer.revision
        state = FeedState(objects, answer.revision, answer.era, changedAt)
        return state.takeIf { answer.objects != null }
    }

    private fun FeedObjectPayload.toStoredObject() =
        StoredObject(key, ObjectVersion(version), value)

    companion object {
        /** Time without an update after which a feed is no longer trusted; updates come at least every second. */
        val MAXIMUM_SILENCE: Duration = 1_500.milliseconds

        /** Age of the store's last answer to the source above which its feed is not trusted. */
        val MAXIMUM_AGE: Duration = 2.seconds

        /**
         * Time that a source has to become recent. Without subscribers, its calls wait for changes longer than
         * [MAXIMUM_AGE].
         */
        val MAXIMUM_CATCH_UP: Duration = 5.seconds

        /**
         * Half the time after which a VM returns to the source that it prefers, as a source without subscribers makes
         * fewer calls; the time doubles with each failure of that source.
         */
        val SHORTEST_RETURN_DELAY: Duration = 5.seconds
        val LONGEST_RETURN_DELAY: Duration = 80.seconds

        /** Interval at which a subscription is announced again, which keeps it alive. */
        val ANNOUNCEMENT_INTERVAL: Duration = 4.seconds
    }
}
