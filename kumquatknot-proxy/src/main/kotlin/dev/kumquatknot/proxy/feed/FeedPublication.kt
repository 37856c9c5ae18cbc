package dev.kumquatknot.proxy.feed

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.proxy.fleet.FeedObjectPayload
import dev.kumquatknot.proxy.fleet.FeedSubscriptionPayload
import dev.kumquatknot.proxy.fleet.FeedUpdatePayload
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Knows the subscribers of one kind and what each of them has, and makes the updates for them.
 *
 * Confined to one thread.
 */
internal class FeedPublication(private val kind: String) {
    private val subscribers = LinkedHashMap<VmName, Subscriber>()

    /** Whether any VM is subscribed. */
    val hasSubscribers: Boolean get() = subscribers.isNotEmpty()

    /** Records that [vm] subscribes at [now] and has the state that [subscription] names. */
    fun subscribe(vm: VmName, subscription: FeedSubscriptionPayload, now: Duration) {
        subscribers[vm] = Subscriber(StoreEra(subscription.era), subscription.revision, now)
    }

    /** Forgets [vm], whose link was lost. */
    fun disconnected(vm: VmName) {
        subscribers.remove(vm)
    }

    /** Forgets the subscribers that have not announced themselves for a while and returns the others. */
    fun subscribersAt(now: Duration): List<VmName> {
        subscribers.values.removeIf { now - it.announcedAt > SUBSCRIPTION_LIFETIME }
        return subscribers.keys.toList()
    }

    /** Returns the update that tells [vm] the [state], which the store confirmed [age] ago; null if not subscribed. */
    fun updateFor(vm: VmName, state: FeedState, age: Duration): FeedUpdatePayload? {
        val subscriber = subscribers[vm] ?: return null
        val isUnchanged = subscriber.era == state.era && subscriber.revision >= state.changedAt
        return FeedUpdatePayload(
            kind = kind,
            era = state.era.value,
            revision = state.revision,
            ageMillis = age.inWholeMilliseconds,
            isUnchanged = isUnchanged,
            objects = if (isUnchanged) {
                emptyList()
            } else {
                state.objects.map { FeedObjectPayload(it.key, it.version.value, it.value) }
            },
            changedAt = state.changedAt,
        )
    }

    /** Records that the update of [vm] with [state] was sent. */
    fun recordSent(vm: VmName, state: FeedState) {
        val subscriber = subscribers[vm] ?: return
        subscriber.era = state.era
        subscriber.revision = state.revision
    }

    private class Subscriber(var era: StoreEra, var revision: Long, val announcedAt: Duration)

    private companion object {
        /** Three times the interval of the announcements. */
        val SUBSCRIPTION_LIFETIME = 12.seconds
    }
}
