package dev.kumquatknot.proxy.feed

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.interactive.InteractiveLimits
import dev.kumquatknot.proxy.interactive.NodeEnvironment
import dev.kumquatknot.proxy.interactive.VirtualLoop
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Five VMs of one region, of which the first two watch the store for all. */
class SharedFeedSpec {
    private val loop = VirtualLoop()
    private val store = VirtualStore(loop)
    private val peers = VirtualPeers(loop)
    private val environment =
        NodeEnvironment(loop, loop::schedule, { _, _, _ -> error("no member") }, EventLog(), InteractiveLimits())
    private var isShared = true
    private val names = List(5) { VmName("vm-$it") }
    private var sources = names.take(2)
    private val vms = names.map { Vm(it) }

    private inner class Vm(val name: VmName) {
        val seen = ArrayList<Pair<String, StoreEra>>()
        lateinit var watcher: VirtualWatcher
        val feed = SharedFeed(
            "kind",
            name,
            environment,
            peers.of(name),
            { isShared },
            { sources },
            { watcher.setWatching(it) },
        ) { objects, era -> seen += objects.joinToString { it.value } to era }

        fun start() {
            watcher = VirtualWatcher(name, store, { feed.maximumWait }, onAnswer = feed::answered)
            feed.start()
            watcher.start()
        }

        val calls get() = store.calls[name] ?: 0
    }

    private fun start() {
        store.put("a", "1")
        vms.forEach { it.start() }
        loop.advance(10.seconds)
        store.calls.clear()
    }

    private val subscribers get() = vms.drop(2)

    @Test
    fun `only the first source calls the store, and all VMs know that their knowledge is recent`() {
        start()
        loop.advance(60.seconds)
        expectThat(vms.drop(1).map { it.calls }).all { isEqualTo(0) }
        expectThat(vms[0].calls).isLessThanOrEqualTo(40)
        expectThat(vms.map { it.feed.age!! }).all { isLessThanOrEqualTo(2_800.milliseconds) }
    }

    @Test
    fun `the second source serves VMs that do not reach the first one`() {
        start()
        peers.cut(names[0], names[4])
        loop.advance(20.seconds)
        expectThat(vms.map { it.feed.watchesStore }).containsExactly(true, true, false, false, false)
        expectThat(vms[4].feed.age!!).isLessThanOrEqualTo(2_800.milliseconds)
    }

    @Test
    fun `a change reaches all VMs within 20 ms`() {
        start()
        store.put("a", "2")
        loop.advance(20.milliseconds)
        expectThat(vms.map { it.seen.last().first }).all { isEqualTo("2") }
    }

    @Test
    fun `all VMs watch the store themselves where feeds are not shared`() {
        isShared = false
        start()
        loop.advance(10.seconds)
        expectThat(vms.map { it.feed.watchesStore }).all { isTrue() }
        expectThat(peers.messages).isEqualTo(0)
    }

    @Test
    fun `subscribers watch the store within 3 s after their source was lost, and follow the other source then`() {
        start()
        peers.lose(names[0], areReset = false)
        vms[0].watcher.isLost = true
        val lostAt = loop.elapsed()
        while (subscribers.any { !it.feed.watchesStore } && loop.elapsed() - lostAt < 10.seconds) {
            loop.advance(10.milliseconds)
        }
        expectThat(loop.elapsed() - lostAt).isLessThanOrEqualTo(3.seconds)
        store.put("a", "2")
        loop.advance(20.milliseconds)
        expectThat(subscribers.map { it.seen.last().first }).all { isEqualTo("2") }
        loop.advance(10.seconds)
        expectThat(subscribers.map { it.feed.watchesStore }).all { isFalse() }
    }

    @Test
    fun `subscribers watch the store at once after the link to their source was reset`() {
        start()
        peers.lose(names[0], areReset = true)
        loop.advance(1.milliseconds)
        expectThat(subscribers.map { it.feed.watchesStore }).all { isTrue() }
    }

    @Test
    fun `subscribers of a source that is cut off from the store watch it themselves within 3 s`() {
        start()
        store.cutOff(names[0])
        val cutAt = loop.elapsed()
        while (subscribers.any { !it.feed.watchesStore } && loop.elapsed() - cutAt < 10.seconds) {
            loop.advance(10.milliseconds)
        }
        expectThat(loop.elapsed() - cutAt).isLessThanOrEqualTo(3.seconds)
        loop.advance(15.seconds)
        expectThat(subscribers.map { it.feed.watchesStore }).all { isFalse() }
    }

    @Test
    fun `a new era is passed on, whose revisions are lower`() {
        start()
        store.restore(mapOf("b" to "restored"))
        loop.advance(5.seconds)
        expectThat(vms.map { it.seen.last() }).all { isEqualTo("restored" to StoreEra(2)) }
    }

    @Test
    fun `no VM sees an older state after a newer one, whichever source is lost`() {
        start()
        repeat(20) { step ->
            store.put("a", "${step + 2}")
            loop.advance((step * 97 % 700).milliseconds)
            if (step == 7) sources = names.drop(1).take(2)
            if (step == 12) peers.lose(names[1], areReset = true)
        }
        loop.advance(6.seconds)
        vms.drop(2).forEach { vm ->
            val values = vm.seen.map { it.first.toInt() }
            expectThat(values.zipWithNext().filter { (earlier, later) -> later < earlier }).containsExactly()
            expectThat(values.last()).isEqualTo(21)
        }
    }

    @Test
    fun `VMs that take each other for the source watch the store, since neither has a feed to give`() {
        val views = names.associateWith { name -> listOf(names[if (name == names[3]) 4 else 3]) }
        val mutual = listOf(names[3], names[4]).map { name ->
            lateinit var watcher: VirtualWatcher
            val feed = SharedFeed(
                "other",
                name,
                environment,
                peers.of(name),
                { true },
                { views.getValue(name) },
                { watcher.setWatching(it) },
            ) { _, _ -> }
            watcher = VirtualWatcher(name, store, { feed.maximumWait }, onAnswer = feed::answered)
            store.put("a", "1")
            feed.start()
            watcher.start()
            feed
        }
        var longestAge = Duration.ZERO
        repeat(600) {
            loop.advance(100.milliseconds)
            if (it > 50) longestAge = maxOf(longestAge, mutual.maxOf { feed -> feed.age!! })
        }
        expectThat(longestAge).isLessThanOrEqualTo(5.seconds)
    }
}
