package dev.kumquatknot.proxy.interactive

import arrow.core.Either
import arrow.core.right
import dev.kumquatknot.core.platform.ConditionalStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.proxy.event.EventLog
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class DutyLeaseRenewerSpec {
    private val loop = VirtualLoop()
    private val executor = ManualExecutor()
    private val store = object : ConditionalStore {
        private val objects = RestorableStore(Random(1))
        var writes = 0
        var isBroken = false

        override val era: StoreEra get() = objects.era

        override fun read(key: String): Either<StoreFailure, StoredObject?> = objects.read(key).right()

        override fun write(key: String, value: String, expected: ObjectVersion) =
            objects.write(key, value, expected).also {
                check(!isBroken) { "an unexpected record" }
                writes++
            }
    }
    private val renewer = DutyLeaseRenewer("duties/failover", "vm", store, executor, loop, EventLog())

    private fun acquire() {
        renewer.start()
        repeat(5) {
            executor.delayed.run()
            loop.advance(1.seconds)
        }
    }

    @Test
    fun `holds the lease while it renews it`() {
        acquire()
        expectThat(renewer.heldToken).isNotNull()
    }

    @Test
    fun `goes on renewing after an unexpected error, which ended the periodic task for good`() {
        acquire()
        store.isBroken = true
        executor.delayed.run()
        store.isBroken = false
        loop.advance(1.seconds)
        executor.delayed.run()
        expectThat(renewer.heldToken).isNotNull()
    }

    @Test
    fun `does not acquire the lease again after releasing it, since the process is about to end`() {
        acquire()
        renewer.release()
        val writes = store.writes
        repeat(5) {
            loop.advance(1.seconds)
            executor.delayed.run()
        }
        expectThat(renewer.heldToken).isNull()
        expectThat(store.writes).isEqualTo(writes)
    }
}
