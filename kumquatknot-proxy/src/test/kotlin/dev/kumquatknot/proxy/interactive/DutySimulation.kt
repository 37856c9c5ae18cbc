package dev.kumquatknot.proxy.interactive

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.platform.ConditionalStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.event.EventLog
import java.time.Instant
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Several VMs compete for one duty in a store that loses answers, executes writes late, serves stale reads and comes
 * back from older copies. Time passes and other VMs act at each call of a VM, as the [random] numbers choose.
 */
internal class DutySimulation(private val random: Random) {
    private val store = RestorableStore(random)
    private val vms = List(VMS) { SimulatedVm(it) }
    private var now = 0.milliseconds
    private var lastActing: Pair<String, Long>? = null

    /** Number of changes of the holder that were seen, and of restored copies. */
    var handovers = 0
        private set
    var restored = 0
        private set

    /** Plays [steps] steps; returns a description of the first violation, or null. */
    fun play(steps: Int): String? {
        repeat(steps) {
            vms.random(random).step()
            disturb()
            violation()?.let { return it }
        }
        return null
    }

    private fun disturb() {
        if (random.nextInt(3) == 0) now += random.nextInt(MAXIMUM_PAUSE_MILLIS).milliseconds
        if (random.nextInt(40) == 0) {
            restored++
            store.restore()
        }
        if (random.nextInt(4) == 0) store.executeLate()
    }

    private fun violation(): String? {
        val acting = vms.mapNotNull { vm -> vm.renewer.heldToken?.let { vm.name to it } }
        if (acting.size > 1) return "at $now two holders act: $acting"
        val (name, token) = acting.singleOrNull() ?: return null
        val last = lastActing
        lastActing = name to token
        if (last == null || last.first == name) {
            return if (last != null && token < last.second) "at $now the token of $name falls: $last, $token" else null
        }
        handovers++
        return if (token <= last.second) "at $now $name acts with $token after $last" else null
    }

    private inner class SimulatedVm(private val number: Int) : ConditionalStore, Clock {
        val name = "vm-$number"
        private val executor = ManualExecutor()
        private var isStepping = false
        private var latestEra = StoreEra.UNKNOWN
        val renewer = DutyLeaseRenewer("duties/failover", name, this, executor, this, EventLog(), { number })
            .also { it.start() }

        override val era: StoreEra get() = latestEra

        override fun elapsed(): Duration = now

        override fun instant(): Instant = Instant.EPOCH

        fun step() {
            if (isStepping) return
            isStepping = true
            executor.delayed.run()
            isStepping = false
        }

        override fun read(key: String): Either<StoreFailure, StoredObject?> = call { store.read(key).right() }

        override fun readStale(key: String): Either<StoreFailure, StoredObject?> = call { store.readStale(key).right() }

        override fun write(key: String, value: String, expected: ObjectVersion): Either<StoreFailure, StoredObject> {
            if (random.nextInt(8) == 0) {
                store.writeLate { store.write(key, value, expected) }
                return StoreFailure.NoAnswer("late").left()
            }
            return call { store.write(key, value, expected) }
        }

        private fun <T> call(execute: () -> Either<StoreFailure, T>): Either<StoreFailure, T> {
            interleave()
            val result = execute()
            val responseEra = store.era
            interleave()
            if (random.nextInt(8) == 0) return StoreFailure.NoAnswer("lost").left()
            if (responseEra < latestEra) return StoreFailure.NoAnswer("earlier era").left()
            latestEra = responseEra
            return result
        }

        private fun interleave() {
            if (random.nextInt(3) == 0) vms.random(random).step()
            disturb()
        }
    }

    private companion object {
        const val VMS = 3
        const val MAXIMUM_PAUSE_MILLIS = 1_500
    }
}

/** A store of objects that can come back from a copy of itself, and then gives out revisions again. */
internal class RestorableStore(private val random: Random) {
    private var objects = emptyMap<String, StoredObject>()
    private var revision = 1L
    private val copies = ArrayList<Pair<Map<String, StoredObject>, Long>>()
    private val history = HashMap<String, ArrayList<StoredObject?>>()
    private val late = ArrayDeque<() -> Unit>()

    var era = StoreEra(1)
        private set

    fun read(key: String): StoredObject? = objects[key]

    fun list(kind: String): List<StoredObject> = objects.values.filter { it.key.startsWith("$kind/") }

    fun readStale(key: String): StoredObject? {
        val versions = history[key].orEmpty() + objects[key]
        return versions.takeLast(STALE_READS).random(random)
    }

    fun write(key: String, value: String, expected: ObjectVersion): Either<StoreFailure, StoredObject> {
        val current = objects[key]
        if ((current?.version ?: ObjectVersion.ABSENT) != expected) return StoreFailure.Conflict(current).left()
        copies += objects to revision
        history.getOrPut(key) { ArrayList() } += current
        revision++
        val stored = StoredObject(key, ObjectVersion(revision), value)
        objects = objects + (key to stored)
        return stored.right()
    }

    fun writeLate(write: () -> Unit) {
        late += write
    }

    fun executeLate() {
        late.removeFirstOrNull()?.invoke()
    }

    fun restore() {
        val copy = copies.takeLast(COPIES).randomOrNull(random) ?: return
        objects = copy.first
        revision = copy.second
        history.clear()
        era = StoreEra(era.value + 1)
    }

    private companion object {
        const val STALE_READS = 3
        const val COPIES = 6
    }
}

/** Runs tasks at once on the calling thread; a delayed task runs when a test calls it. */
internal class ManualExecutor : ScheduledExecutorService by Executors.newSingleThreadScheduledExecutor() {
    lateinit var delayed: Runnable

    override fun execute(command: Runnable) = command.run()

    override fun schedule(command: Runnable, delay: Long, unit: TimeUnit): ScheduledFuture<*> {
        delayed = command
        return IdleFuture
    }

    object IdleFuture : ScheduledFuture<Unit> {
        override fun compareTo(other: java.util.concurrent.Delayed): Int = 0

        override fun getDelay(unit: TimeUnit): Long = 0

        override fun cancel(mayInterruptIfRunning: Boolean): Boolean = false

        override fun isCancelled(): Boolean = false

        override fun isDone(): Boolean = false

        override fun get() = Unit

        override fun get(timeout: Long, unit: TimeUnit) = Unit
    }
}
