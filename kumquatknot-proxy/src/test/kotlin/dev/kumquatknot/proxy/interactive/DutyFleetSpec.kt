package dev.kumquatknot.proxy.interactive

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.platform.ConditionalStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.proxy.event.EventLog
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A fleet of three regions, each with two candidates for a duty, whose VMs die: the holder with all candidates, or with
 * all but one. The ranks are those of a view that does not notice the losses, which is the worst case.
 */
class DutyFleetSpec {
    private class Fleet(private val random: Random) {
        val loop = VirtualLoop()
        private val objects = RestorableStore(random)
        val vms = List(VMS) { Vm(it) }
        private var lastToken = 0L

        inner class Vm(number: Int) : ConditionalStore {
            val rank = number / REGIONS
            var isLost = false
            var reads = 0
            private val renewer = DutyLeaseRenewer(
                "duties/failover",
                "vm-$number",
                this,
                LoopExecutor(loop) { isLost },
                loop,
                EventLog(),
                { rank },
            )
            val token get() = renewer.heldToken.takeUnless { isLost }

            override val era get() = StoreEra.UNKNOWN

            fun start() = renewer.start()

            override fun read(key: String): Either<StoreFailure, StoredObject?> = answer { objects.read(key).right() }

            override fun readStale(key: String): Either<StoreFailure, StoredObject?> = read(key).also { reads++ }

            override fun write(key: String, value: String, expected: ObjectVersion) =
                answer { objects.write(key, value, expected) }

            private fun <T> answer(call: () -> Either<StoreFailure, T>): Either<StoreFailure, T> =
                if (random.nextInt(LOST_ANSWERS) == 0) StoreFailure.NoAnswer("lost").left() else call()
        }

        val holders get() = vms.filter { it.token != null }

        fun start() = vms.forEach { vm -> loop.schedule(random.nextInt(2_000).milliseconds) { vm.start() } }

        /** Returns the time until a VM holds the duty, with a token above all earlier ones. */
        fun timeToHolder(): Duration {
            val since = loop.elapsed()
            while (holders.isEmpty() && loop.elapsed() - since < 60.seconds) loop.advance(10.milliseconds)
            check(holders.size == 1) { "${holders.size} holders" }
            val token = checkNotNull(holders.single().token)
            check(token > lastToken) { "the token falls from $lastToken to $token" }
            lastToken = token
            return loop.elapsed() - since
        }
    }

    private fun startedFleet(seed: Int) = Fleet(Random(seed)).also {
        it.start()
        it.loop.advance(20.seconds)
        it.timeToHolder()
        it.loop.advance((seed * 131 % 5_000).milliseconds)
    }

    @Test
    fun `a lost holder is replaced within the lease and one renewal interval while one candidate lives`() {
        val slow = (1..SEEDS).mapNotNull { seed ->
            val fleet = startedFleet(seed)
            val survivor = fleet.vms.filter { it.rank < 2 && it.token == null }.random(Random(seed))
            fleet.vms.filter { (it.rank < 2 || it.token != null) && it !== survivor }.forEach { it.isLost = true }
            val time = fleet.timeToHolder()
            // Two lost answers in a row may delay a takeover by an interval each.
            "seed $seed: $time".takeIf { time > LEASE + RENEWAL * 4 }
        }
        expectThat(slow).isEmpty()
    }

    @Test
    fun `a lost holder is replaced within 5 s and the lease if all candidates are lost with it`() {
        val times = (1..SEEDS).map { seed ->
            val fleet = startedFleet(seed)
            fleet.vms.filter { it.rank < 2 || it.token != null }.forEach { it.isLost = true }
            fleet.timeToHolder()
        }
        println("all candidates lost: a new holder after ${times.min()} to ${times.max()}")
        expectThat(times.max()).isLessThanOrEqualTo(RESERVE + LEASE + RESOLUTION)
    }

    @Test
    fun `VMs other than candidates read the record five times less often`() {
        val fleet = startedFleet(1)
        fleet.vms.forEach { it.reads = 0 }
        fleet.loop.advance(60.seconds)
        expectThat(fleet.holders).hasSize(1)
        fleet.vms.filter { it.rank >= 2 && it.token == null }.forEach { expectThat(it.reads).isLessThan(17) }
    }

    private companion object {
        const val REGIONS = 3
        const val VMS = 15
        const val SEEDS = 200
        const val LOST_ANSWERS = 50
        val LEASE = 3.seconds
        val RENEWAL = 900.milliseconds
        val RESERVE = 5.seconds

        /** Step of the simulation. */
        val RESOLUTION = 20.milliseconds
    }
}
