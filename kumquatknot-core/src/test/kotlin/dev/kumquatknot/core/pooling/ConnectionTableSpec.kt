package dev.kumquatknot.core.pooling

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConnectionTableSpec {
    private val table = ConnectionTable(connections = 20, slots = 3)

    private fun open(use: ConnectionUse = ConnectionUse.BATCH, now: Duration = Duration.ZERO): ConnectionNumber {
        val number = (table.acquire(use, now) as Acquisition.Open).number
        table.opened(number, now)
        return number
    }

    @Nested
    inner class `limits` {
        @Test
        fun `reserve connections for control calls`() {
            expectThat(table.limit).isEqualTo(18)
        }

        @Test
        fun `leave connections for batches beside transactions`() {
            repeat(15) { open(ConnectionUse.TRANSACTION) }
            expectThat(
                table.acquire(ConnectionUse.TRANSACTION, Duration.ZERO),
            ).isEqualTo(Acquisition.TooManyTransactions)
            expectThat(table.acquire(ConnectionUse.BATCH, Duration.ZERO)).isA<Acquisition.Open>()
        }

        @Test
        fun `apply to the connections that are opening at the same time`() {
            repeat(2) { table.acquire(ConnectionUse.BATCH, Duration.ZERO) }
            expectThat(table.acquire(ConnectionUse.BATCH, Duration.ZERO)).isA<Acquisition.Wait>()
        }

        @Test
        fun `close idle connections when the share shrinks`() {
            val first = open()
            val second = open()
            table.giveBack(first, clean = true, Duration.ZERO)
            expectThat(table.changeShare(3)).containsExactly(first)
            expectThat(table.giveBack(second, clean = true, Duration.ZERO)).isEmpty()
        }

        @Test
        fun `hold in random sequences of events`() {
            val seed = System.getProperty("kumquatknot.test.seed")?.toLong() ?: 20261204L
            println("seed $seed")
            repeat(200) { RandomConnectionTableRun(Random(seed + it)).run(steps = 300) }
        }
    }

    @Nested
    inner class `reuse` {
        @Test
        fun `prefers the connection released last`() {
            val first = open()
            val second = open()
            table.giveBack(second, clean = true, 1.milliseconds)
            table.giveBack(first, clean = true, 2.milliseconds)
            expectThat(table.acquire(ConnectionUse.BATCH, 3.milliseconds)).isEqualTo(Acquisition.Reuse(first))
        }

        @Test
        fun `closes a connection that is not clean`() {
            val number = open()
            expectThat(table.giveBack(number, clean = false, 1.milliseconds)).containsExactly(number)
            expectThat(table.counts.total).isEqualTo(0)
        }

        @Test
        fun `drops with an unresponsive connection the idle ones without a later response`() {
            val unresponsive = open(now = 1.seconds)
            val older = open(now = Duration.ZERO)
            val newer = open(now = 1.seconds)
            table.giveBack(older, clean = true, 1.seconds)
            table.giveBack(newer, clean = true, 2.seconds)
            expectThat(table.drop(unresponsive)).containsExactly(unresponsive, older)
        }

        @Test
        fun `closes connections after the idle timeout`() {
            val number = open()
            table.giveBack(number, clean = true, Duration.ZERO)
            expectThat(table.trim(59.seconds)).isEmpty()
            expectThat(table.trim(60.seconds)).containsExactly(number)
        }
    }

    @Nested
    inner class `failed opens` {
        @Test
        fun `cause a delay that doubles each time`() {
            repeat(2) { attempt ->
                val now = 1.seconds * attempt
                table.openFailed((table.acquire(ConnectionUse.BATCH, now) as Acquisition.Open).number, now)
            }
            expectThat(table.acquire(ConnectionUse.BATCH, 1.seconds)).isEqualTo(Acquisition.Wait(100.milliseconds))
        }
    }

    @Nested
    inner class `deactivation` {
        @Test
        fun `closes idle connections immediately and the others when they are released`() {
            val used = open()
            val unused = open()
            val opening = (table.acquire(ConnectionUse.BATCH, Duration.ZERO) as Acquisition.Open).number
            table.giveBack(unused, clean = true, Duration.ZERO)
            expectThat(table.giveUp()).containsExactly(unused)
            expectThat(table.giveBack(used, clean = true, Duration.ZERO)).containsExactly(used)
            expectThat(table.opened(opening, Duration.ZERO)).isFalse()
            expectThat(table.counts.total).isEqualTo(0)
        }
    }
}

/** Applies random events to a [ConnectionTable] and checks its limits after each one. */
private class RandomConnectionTableRun(private val random: Random) {
    private val table = ConnectionTable(connections = 10, slots = 3)
    private val opening = ArrayList<ConnectionNumber>()
    private val used = ArrayList<ConnectionNumber>()
    private var now = Duration.ZERO

    fun run(steps: Int) = repeat(steps) {
        val before = table.counts.total
        step()
        now += random.nextInt(2000).milliseconds
        expectThat(table.counts.total).isLessThanOrEqualTo(maxOf(before, table.limit))
        expectThat(table.counts.total).isLessThanOrEqualTo(10 - 2)
        expectThat(table.counts.opening).isLessThanOrEqualTo(2)
        expectThat(table.counts.batches + table.counts.transactions).isEqualTo(opening.size + used.size)
    }

    private fun step() {
        when (random.nextInt(8)) {
            0, 1, 2 -> acquire()
            3 -> opening.removeRandom()?.let { if (table.opened(it, now)) used += it }
            4 -> opening.removeRandom()?.let { table.openFailed(it, now) }
            5 -> used.removeRandom()?.let { table.giveBack(it, clean = random.nextBoolean(), now) }
            6 -> used.removeRandom()?.let { table.drop(it) }
            else -> table.changeShare(random.nextInt(12))
        }
    }

    private fun acquire() {
        when (val acquisition = table.acquire(ConnectionUse.entries.random(random), now)) {
            is Acquisition.Open -> opening += acquisition.number
            is Acquisition.Reuse -> used += acquisition.number
            else -> Unit
        }
    }

    private fun <T> MutableList<T>.removeRandom(): T? = if (isEmpty()) null else removeAt(random.nextInt(size))
}
