package dev.kumquatknot.proxy.feed

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.proxy.fleet.FeedObjectPayload
import dev.kumquatknot.proxy.fleet.FeedUpdatePayload
import dev.kumquatknot.proxy.interactive.WatchAnswer
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FeedSubscriptionSpec {
    private val first = VmName("first")
    private val second = VmName("second")
    private val sources = listOf(first, second)
    private val subscription = FeedSubscription(VmName("self"))
    private var now = 100.seconds

    private fun stored(value: String) = StoredObject("kind/a", ObjectVersion(1), value)

    private fun own(value: String?, revision: Long, era: Long = 1) =
        subscription.record(WatchAnswer(value?.let { listOf(stored(it)) }, revision, StoreEra(era), now))

    private fun update(
        value: String?,
        revision: Long,
        changedAt: Long = revision,
        era: Long = 1,
        age: Duration = Duration.ZERO,
        from: VmName = first,
    ) = subscription.receive(
        from,
        FeedUpdatePayload(
            kind = "kind",
            era = era,
            revision = revision,
            ageMillis = age.inWholeMilliseconds,
            isUnchanged = value == null,
            objects = listOfNotNull(value).map { FeedObjectPayload("kind/a", 1, it) },
            changedAt = changedAt,
        ),
        now,
    )

    private fun decide(after: Duration = Duration.ZERO): VmName? {
        now += after
        return subscription.decide(now, isShared = true, sources)
    }

    private val value get() = subscription.state?.objects?.single()?.value

    private fun subscribed() {
        own("x", 100)
        decide()
        update(null, 101, changedAt = 90)
        decide()
        check(!subscription.watchesStore)
    }

    @Nested
    inner class `a VM` {
        @Test
        fun `watches the store itself where feeds are not shared, as in configurations without customers`() {
            subscription.decide(now, isShared = false, sources)
            expectThat(subscription.watchesStore).isTrue()
            expectThat(subscription.source).isNull()
        }

        @Test
        fun `that is the first source watches the store and subscribes to nobody`() {
            expectThat(subscription.decide(now, true, listOf(VmName("self"), second))).isNull()
            expectThat(subscription.watchesStore).isTrue()
        }

        @Test
        fun `that is the second source relies on the first one unless others rely on it`() {
            val order = listOf(first, VmName("self"))
            own("x", 100)
            expectThat(subscription.decide(now, true, order)).isEqualTo(first)
            update(null, 101, changedAt = 90)
            subscription.decide(now, true, order)
            expectThat(subscription.watchesStore).isFalse()
            subscription.decide(now, true, order, hasSubscribers = true)
            expectThat(subscription.watchesStore).isTrue()
        }

        @Test
        fun `that is the second source watches the store while the first one is silent`() {
            val order = listOf(first, VmName("self"))
            own("x", 100)
            repeat(10) {
                now += 1.seconds
                subscription.decide(now, true, order)
                expectThat(subscription.watchesStore).isTrue()
            }
        }

        @Test
        fun `watches the store until its feed has confirmed what it knows`() {
            own("x", 100)
            expectThat(decide()).isEqualTo(first)
            expectThat(subscription.watchesStore).isTrue()
            update(null, 101, changedAt = 90)
            decide()
            expectThat(subscription.watchesStore).isFalse()
        }

        @Test
        fun `announces its subscription every 4 s, which keeps it alive`() {
            subscribed()
            now += 3.seconds
            update(null, 102, changedAt = 90)
            expectThat(decide()).isNull()
            now += 1.seconds
            update(null, 102, changedAt = 90)
            expectThat(decide()).isEqualTo(first)
        }
    }

    @Nested
    inner class `a feed` {
        @Test
        fun `that is silent for 1,5 s is not trusted and the next source is asked`() {
            subscribed()
            expectThat(decide(after = 1_500.milliseconds)).isNull()
            expectThat(subscription.watchesStore).isFalse()
            expectThat(decide(after = 1.milliseconds)).isEqualTo(second)
            expectThat(subscription.watchesStore).isTrue()
        }

        @Test
        fun `whose link is lost is not trusted from then on`() {
            subscribed()
            subscription.disconnected(first)
            now += 1.milliseconds
            decide()
            expectThat(subscription.watchesStore).isTrue()
        }

        @Test
        fun `that reports an age above 2 s is not trusted until it is fresh again`() {
            subscribed()
            update(null, 101, changedAt = 90, age = 2_001.milliseconds)
            decide()
            expectThat(subscription.watchesStore).isTrue()
            update(null, 101, changedAt = 90, age = 1_900.milliseconds)
            decide()
            expectThat(subscription.watchesStore).isFalse()
        }

        @Test
        fun `that stays outdated for more than 5 s is given up for the next source`() {
            subscribed()
            now += 5.seconds
            update(null, 101, changedAt = 90, age = 5.seconds)
            decide()
            expectThat(subscription.source).isEqualTo(first)
            decide(after = 1.milliseconds)
            expectThat(subscription.source).isEqualTo(second)
        }

        @Test
        fun `of another source than the preferred one is left after 10 s without an own watch in between`() {
            subscribed()
            subscription.disconnected(first)
            decide(after = 1.milliseconds)
            update(null, 102, changedAt = 90, from = second)
            repeat(10) {
                decide(after = 1.seconds)
                update(null, 102, changedAt = 90, from = second)
            }
            expectThat(decide(after = 1.milliseconds)).isEqualTo(first)
            expectThat(subscription.watchesStore).isFalse()
            update(null, 103, changedAt = 90)
            decide(after = 1.milliseconds)
            expectThat(subscription.watchesStore).isFalse()
            expectThat(subscription.source).isEqualTo(first)
        }

        @Test
        fun `of a preferred source that stays silent is tried less and less often`() {
            subscribed()
            var attempts = 0
            repeat(400) {
                if (decide(after = 500.milliseconds) == first) attempts++
                update(null, 102, changedAt = 90, from = second)
            }
            // Returns after 10, 20, 40 and 80 s.
            expectThat(attempts).isEqualTo(4)
        }

        @Test
        fun `of a VM that is no longer a source is given up`() {
            subscribed()
            subscription.decide(now, true, listOf(second))
            expectThat(subscription.source).isEqualTo(second)
        }

        @Test
        fun `tells how old the knowledge is`() {
            subscribed()
            now += 1.seconds
            update(null, 102, changedAt = 90, age = 700.milliseconds)
            expectThat(subscription.confirmedAt).isEqualTo(now - 700.milliseconds)
        }
    }

    @Nested
    inner class `an update` {
        @Test
        fun `with another state is news`() {
            subscribed()
            expectThat(update("y", 102)).isNotNull()
            expectThat(value).isEqualTo("y")
        }

        @Test
        fun `of an older revision is ignored and does not confirm what this VM knows`() {
            own("new", 200)
            decide()
            expectThat(update("old", 150)).isNull()
            decide()
            expectThat(value).isEqualTo("new")
            expectThat(subscription.watchesStore).isTrue()
        }

        @Test
        fun `of a new era is news although its revisions are lower, and one of the former era no longer is`() {
            subscribed()
            expectThat(update("restored", 60, era = 2)).isNotNull()
            expectThat(update("late", 103, era = 1)).isNull()
            expectThat(value).isEqualTo("restored")
        }

        @Test
        fun `without objects that follows a lost one is not taken for a confirmation`() {
            subscribed()
            expectThat(update(null, 110, changedAt = 105)).isNull()
            expectThat(decide()).isEqualTo(first)
            expectThat(subscription.watchesStore).isTrue()
            expectThat(subscription.state?.revision).isEqualTo(101)
        }

        @Test
        fun `of another VM than the source is ignored`() {
            subscribed()
            expectThat(update("y", 102, from = second)).isNull()
        }
    }

    @Nested
    inner class `an answer of the store` {
        @Test
        fun `to a call from before the pause is ignored if the feed is ahead`() {
            subscribed()
            update("y", 110)
            expectThat(own("x", 105)).isNull()
            expectThat(value).isEqualTo("y")
        }

        @Test
        fun `to the own watch holds in any case, also in a store that came back without an era`() {
            own("x", 100, era = 0)
            expectThat(own("older", 50, era = 0)).isNotNull()
            expectThat(value).isEqualTo("older")
        }

        @Test
        fun `after a compacted history is no change for subscribers if the objects are the same`() {
            own("x", 100)
            own("x", 300)
            expectThat(subscription.state?.changedAt).isEqualTo(100)
        }
    }
}
