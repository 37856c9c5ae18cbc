package dev.kumquatknot.proxy.interactive

import arrow.core.Either
import arrow.core.right
import dev.kumquatknot.core.platform.ConditionalStore
import dev.kumquatknot.core.platform.ObjectSnapshot
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.WatchResult
import dev.kumquatknot.core.platform.WatchableObjects
import dev.kumquatknot.proxy.event.EventLog
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import kotlin.random.Random
import kotlin.time.Duration

class FleetRegistrySpec {
    private val contents = RestorableStore(Random(1))
    private val counts = ArrayList<Int>()
    private val store = object : ConditionalStore, WatchableObjects {
        override val era: StoreEra get() = contents.era

        override fun read(key: String) = contents.read(key).right()

        override fun write(key: String, value: String, expected: ObjectVersion) = contents.write(key, value, expected)

        override fun snapshot(kind: String): Either<StoreFailure, ObjectSnapshot> =
            ObjectSnapshot(contents.list(kind), 1, era).right()

        override fun changes(kind: String, revision: Long, timeout: Duration): Either<StoreFailure, WatchResult> =
            error("the registry does not watch")
    }

    private fun register(vm: String): ManualExecutor = ManualExecutor().also { executor ->
        FleetRegistry("vms", vm, store, store, executor, EventLog(), counts::add).start()
    }

    @Test
    fun `counts the VMs that have registered, each once however often it starts`() {
        listOf("one", "two", "two").forEach { register(it) }
        expectThat(counts).containsExactly(1, 2, 2)
    }

    @Test
    fun `registers its VM again in a store that came back from a copy`() {
        val executor = register("one")
        contents.restore()
        executor.delayed.run()
        expectThat(counts.last()).isEqualTo(1)
    }
}
