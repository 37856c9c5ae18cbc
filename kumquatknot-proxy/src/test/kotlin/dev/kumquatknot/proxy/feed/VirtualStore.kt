package dev.kumquatknot.proxy.feed

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.proxy.fleet.PeerListener
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.PeerNetwork
import dev.kumquatknot.proxy.interactive.VirtualLoop
import dev.kumquatknot.proxy.interactive.WatchAnswer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Objects of one kind on virtual time; counts the calls of each VM. */
internal class VirtualStore(val loop: VirtualLoop) {
    val calls = HashMap<VmName, Int>()
    private val cutOff = HashSet<VmName>()
    private val waiting = ArrayList<() -> Unit>()
    private var objects = emptyMap<String, StoredObject>()
    private var changedAt = 0L

    var revision = 100L
        private set
    var era = StoreEra(1)
        private set

    fun put(name: String, value: String) {
        revision++
        changedAt = revision
        objects = objects + ("kind/$name" to StoredObject("kind/$name", ObjectVersion(revision), value))
        waiting.toList().also { waiting.clear() }.forEach { it() }
    }

    /** Comes back from an older copy with [contents]. */
    fun restore(contents: Map<String, String>) {
        era = StoreEra(era.value + 1)
        revision -= 50
        objects = emptyMap()
        contents.forEach { (name, value) -> put(name, value) }
    }

    fun cutOff(vm: VmName) {
        cutOff += vm
    }

    fun snapshot(vm: VmName, done: (WatchAnswer?) -> Unit) {
        count(vm)
        loop.schedule(LATENCY) { if (vm in cutOff) loop.schedule(TIMEOUT) { done(null) } else done(answer(true)) }
    }

    fun changes(vm: VmName, known: Long, knownEra: StoreEra, wait: Duration, done: (WatchAnswer?) -> Unit) {
        count(vm)
        var isAnswered = false

        fun reply() {
            if (isAnswered) return
            isAnswered = true
            if (vm in cutOff) {
                loop.schedule(TIMEOUT) { done(null) }
            } else {
                loop.schedule(LATENCY) { done(answer(changedAt > known).takeIf { era == knownEra }) }
            }
        }
        if (changedAt > known || era != knownEra) return reply()
        waiting += ::reply
        loop.schedule(wait) { reply() }
    }

    private fun answer(isChanged: Boolean) =
        WatchAnswer(objects.values.toList().takeIf { isChanged }, revision, era, loop.elapsed())

    private fun count(vm: VmName) {
        calls.merge(vm, 1, Int::plus)
    }

    private companion object {
        val LATENCY = 3.milliseconds
        val TIMEOUT = 700.milliseconds
    }
}

/** The calls that an ObjectWatcher makes, on virtual time instead of a thread. */
internal class VirtualWatcher(
    private val vm: VmName,
    private val store: VirtualStore,
    private val maximumWait: () -> Duration,
    private val changeInterval: Duration = Duration.ZERO,
    private val onAnswer: (WatchAnswer) -> Unit,
) {
    var isLost = false
    private var isPaused = false
    private var isCalling = false

    fun start() {
        if (isCalling || isLost) return
        isCalling = true
        store.snapshot(vm) { next(it) }
    }

    fun setWatching(watches: Boolean) {
        isPaused = !watches
        if (watches) start()
    }

    private fun next(answer: WatchAnswer?) {
        isCalling = false
        if (isLost) return
        answer?.let(onAnswer)
        when {
            isPaused -> Unit
            answer == null -> {
                isCalling = true
                store.loop.schedule(200.milliseconds) {
                    isCalling = false
                    if (!isPaused) start()
                }
            }
            else -> {
                isCalling = true
                val delay = if (answer.objects == null) Duration.ZERO else minOf(changeInterval, maximumWait())
                if (delay.isPositive()) store.loop.schedule(delay) { watch(answer) } else watch(answer)
            }
        }
    }

    private fun watch(last: WatchAnswer) {
        store.changes(vm, last.revision, last.era, minOf(USUAL_WAIT, maximumWait())) { next(it) }
    }

    private companion object {
        val USUAL_WAIT = 4.seconds
    }
}

/** Links between VMs on virtual time. */
internal class VirtualPeers(private val loop: VirtualLoop) {
    private val endpoints = LinkedHashMap<VmName, Endpoint>()
    private val lost = HashSet<VmName>()
    private val cut = HashSet<Set<VmName>>()
    var messages = 0
        private set

    fun of(vm: VmName): PeerNetwork = endpoints.getOrPut(vm) { Endpoint(vm) }

    /** Ends [vm]; the others are told of it only if its links [areReset]. */
    fun lose(vm: VmName, areReset: Boolean) {
        lost += vm
        if (areReset) {
            endpoints.filterKeys { it != vm }.values.forEach { end ->
                end.listeners.forEach { it.disconnected(vm) }
            }
        }
    }

    /** Drops all messages between [one] and [other]. */
    fun cut(one: VmName, other: VmName) {
        cut += setOf(one, other)
    }

    private inner class Endpoint(private val vm: VmName) : PeerNetwork {
        val listeners = ArrayList<PeerListener>()

        override fun send(vm: VmName, message: PeerMessage): Boolean {
            val from = this.vm
            if (from in lost || vm !in endpoints) return false
            messages++
            loop.schedule(1.milliseconds) {
                if (vm !in lost &&
                    setOf(from, vm) !in cut
                ) {
                    endpoints.getValue(vm).listeners.forEach { it.received(from, message) }
                }
            }
            return true
        }

        override fun addListener(listener: PeerListener) {
            listeners += listener
        }
    }
}
