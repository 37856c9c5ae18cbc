package dev.kumquatknot.proxy.fleet

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.fleet.FleetVm
import dev.kumquatknot.core.fleet.FleetVmCodec
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ConditionalStore
import dev.kumquatknot.core.platform.ObjectSnapshot
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.core.platform.WatchResult
import dev.kumquatknot.core.platform.WatchableObjects
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.interactive.ManualExecutor
import dev.kumquatknot.proxy.interactive.RestorableStore
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FleetRegistrySpec {
    private val contents = RestorableStore(Random(1))
    private val counts = ArrayList<Int>()
    private var lists = ArrayList<List<FleetVm>>()
    private var writes = 0
    private var isUnavailable = false
    private val store = object : ConditionalStore, WatchableObjects {
        override val era: StoreEra get() = contents.era

        override fun read(key: String): Either<StoreFailure, StoredObject?> = answer { contents.read(key).right() }

        override fun write(key: String, value: String, expected: ObjectVersion): Either<StoreFailure, StoredObject> {
            writes++
            return answer { contents.write(key, value, expected) }
        }

        override fun snapshot(kind: String): Either<StoreFailure, ObjectSnapshot> =
            answer { ObjectSnapshot(contents.list(kind), 1, era).right() }

        override fun changes(kind: String, revision: Long, timeout: Duration): Either<StoreFailure, WatchResult> =
            error("the registry does not watch")

        private fun <T> answer(execute: () -> Either<StoreFailure, T>): Either<StoreFailure, T> =
            if (isUnavailable) StoreFailure.NoAnswer("unavailable").left() else execute()
    }

    /** Runs the scheduled tasks when a test lets time pass, and tells when that was. */
    private class TimedExecutor(
        private val base: ManualExecutor = ManualExecutor(),
    ) : ScheduledExecutorService by base {
        private val tasks = ArrayList<Pair<Duration, Runnable>>()
        private var now = Duration.ZERO

        override fun schedule(command: Runnable, delay: Long, unit: TimeUnit): ScheduledFuture<*> {
            tasks += now + unit.toMillis(delay).milliseconds to command
            return base.schedule(command, 0, unit)
        }

        fun advance(time: Duration) {
            val until = now + time
            while (true) {
                val next = tasks.filter { it.first <= until }.minByOrNull { it.first } ?: break
                tasks -= next
                now = next.first
                next.second.run()
            }
            now = until
        }
    }

    private inner class Vm(val self: FleetVm) {
        val executor = TimedExecutor()
        val registry = FleetRegistry("vms", self, store, store, executor, EventLog()) {
            counts += it.size
            lists += it
        }

        init {
            registry.start()
        }
    }

    private fun vm(name: String, run: Long = 1) =
        FleetVm(VmName(name), run, "10.0.0.1:9000", DataCentre("a"), 1.5)

    private fun start(name: String, run: Long = 1): Vm = Vm(vm(name, run))

    private fun stored(name: String): FleetVm =
        FleetVmCodec.decode(VmName(name), checkNotNull(contents.read("vms/$name")).value)

    @Nested
    inner class `the list` {
        @Test
        fun `counts the VMs that have registered, each once however often it starts`() {
            listOf("one", "two").forEach { start(it).executor.advance(3.seconds) }
            start("two", run = 2).executor.advance(3.seconds)
            expectThat(counts).containsExactly(1, 1, 2, 2, 2, 2)
        }

        @Test
        fun `is read at the start, after 3 s and then every 30 s`() {
            val vm = start("one")
            vm.executor.advance(2.seconds)
            expectThat(counts.size).isEqualTo(1)
            vm.executor.advance(1.seconds)
            expectThat(counts.size).isEqualTo(2)
            vm.executor.advance(60.seconds)
            expectThat(counts.size).isEqualTo(4)
        }

        @Test
        fun `is read once for all VMs that connect within a second`() {
            val vm = start("one").also { it.executor.advance(10.seconds) }
            repeat(20) { vm.registry.refresh() }
            vm.executor.advance(1.seconds)
            expectThat(counts.size).isEqualTo(3)
            vm.registry.refresh()
            vm.executor.advance(1.seconds)
            expectThat(counts.size).isEqualTo(4)
        }

        @Test
        fun `contains VMs of earlier builds, which register their name alone`() {
            contents.write("vms/old", "", ObjectVersion.ABSENT)
            start("one").executor.advance(3.seconds)
            expectThat(lists.last()).containsExactly(FleetVm(VmName("old")), vm("one"))
        }

        @Test
        fun `stays the last one while the store does not answer, and is then read within 8 s`() {
            val vm = start("one").also { it.executor.advance(3.seconds) }
            isUnavailable = true
            vm.executor.advance(100.seconds)
            expectThat(counts.size).isEqualTo(2)
            isUnavailable = false
            vm.executor.advance(8.seconds)
            expectThat(counts.size).isEqualTo(3)
        }
    }

    @Nested
    inner class `the registration` {
        @Test
        fun `is one write`() {
            start("one").executor.advance(120.seconds)
            expectThat(writes).isEqualTo(1)
            expectThat(stored("one")).isEqualTo(vm("one"))
        }

        @Test
        fun `replaces that of an earlier process or build under the same name`() {
            contents.write("vms/two", "", ObjectVersion.ABSENT)
            start("one", run = 1)
            start("one", run = 2)
            start("two", run = 3)
            expectThat(listOf(stored("one").run, stored("two").run)).containsExactly(2, 3)
        }

        @Test
        fun `is made again in a store that came back from a copy`() {
            val vm = start("one")
            contents.restore()
            vm.executor.advance(3.seconds)
            expectThat(stored("one")).isEqualTo(vm("one"))
            vm.executor.advance(30.seconds)
            expectThat(counts.last()).isEqualTo(1)
        }

        @Test
        fun `is made as soon as the store answers`() {
            isUnavailable = true
            val vm = start("one").also { it.executor.advance(20.seconds) }
            isUnavailable = false
            vm.executor.advance(8.seconds)
            expectThat(stored("one")).isEqualTo(vm("one"))
        }

        @Test
        fun `tells that the VM leaves, and still does after the next list`() {
            val vm = start("one").also { it.executor.advance(3.seconds) }
            vm.registry.leave()
            vm.executor.advance(30.seconds)
            expectThat(stored("one").leaving).isTrue()
        }

        @Test
        fun `of the next process under the name does not tell that the last one leaves`() {
            val former = start("one", run = 1)
            start("one", run = 2)
            former.registry.leave()
            expectThat(stored("one")).isEqualTo(vm("one", run = 2))
            expectThat(stored("one").leaving).isFalse()
        }
    }
}
