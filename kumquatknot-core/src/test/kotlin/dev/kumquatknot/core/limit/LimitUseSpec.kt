package dev.kumquatknot.core.limit

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.customer.RateLimit
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.math.pow
import kotlin.time.Duration.Companion.seconds

/** Guards against refused operations of customers that stay below their limits, and counts the messages. */
class LimitUseSpec {
    private val limits = (1..CUSTOMERS).associate { rank ->
        val usual = OPERATIONS * rank.toDouble().pow(-1.2) / (1..CUSTOMERS).sumOf { it.toDouble().pow(-1.2) }
        CustomerName("customer-$rank") to RateLimit(usual * HEADROOM, usual * HEADROOM)
    }

    private fun usual(customer: CustomerName) = limits.getValue(customer).operationsPerSecond / HEADROOM

    private fun fleet(size: Int) = LimitSimulation(seed = 7, size, limits)

    private fun LimitSimulation.submitAll(factor: Double, place: () -> LimitSimulation.Vm) =
        limits.keys.forEach { submit(it, { usual(it) * factor }, place) }

    private class Counts(val offered: Long, val refused: Long)

    private fun LimitSimulation.counts() =
        Counts(accounts.values.sumOf { it.offered }, accounts.values.sumOf { it.refused })

    /** Returns the share of operations that were refused during [seconds]. */
    private fun LimitSimulation.underUse(seconds: Int): Double {
        val before = counts()
        advance(seconds.seconds)
        val after = counts()
        return (after.refused - before.refused).toDouble() / (after.offered - before.offered)
    }

    private fun LimitSimulation.expectNoViolation() =
        expectThat(accounts.values.mapNotNull { it.violation }.size).isLessThan(1)

    @Nested
    inner class `below the limit` {
        @Test
        fun `a steady load is served but for 2 per cent`() {
            listOf(30, 87).forEach { size ->
                listOf(1.0, 0.97 * HEADROOM).forEach { factor ->
                    val fleet = fleet(size)
                    fleet.submitAll(factor) { fleet.vms.random(fleet.random) }
                    fleet.advance(20.seconds)
                    val underUse = fleet.underUse(60)
                    println("$size VMs at %.2f of the limit: %.4f refused".format(factor / HEADROOM, underUse))
                    expectThat(underUse).isLessThan(0.02)
                    fleet.expectNoViolation()
                }
            }
        }

        @Test
        fun `demand that moves to another region within a second is served but for 5 per cent`() {
            listOf(30, 87).forEach { size ->
                val fleet = fleet(size)
                var movedAt = 1_000.seconds
                fleet.submitAll(0.9 * HEADROOM) {
                    val moved = fleet.random.nextDouble() < (fleet.now - movedAt) / 1.seconds
                    fleet.vms.filter { it.region == if (moved) 2 else 1 }.random(fleet.random)
                }
                fleet.advance(20.seconds)
                movedAt = fleet.now
                val underUse = fleet.underUse(5)
                println("$size VMs, demand moves: %.4f refused".format(underUse))
                expectThat(underUse).isLessThan(0.05)
            }
        }

        @Test
        fun `the usual load is served but for 5 per cent after the loss of a limiter`() {
            listOf(30, 87).forEach { size ->
                val fleet = fleet(size)
                var seen = fleet.vms.take(3)
                fleet.vms.forEach { vm -> vm.order = { seen.map { it.name } } }
                fleet.submitAll(1.0) { fleet.vms.drop(4).random(fleet.random) }
                fleet.advance(20.seconds)
                fleet.vms.first().kill()
                fleet.after(1.seconds) { seen = fleet.vms.drop(1).take(3) }
                val underUse = fleet.underUse(10)
                println("$size VMs, a limiter is lost: %.4f refused".format(underUse))
                expectThat(underUse).isLessThan(0.05)
            }
        }
    }

    @Nested
    inner class `above the limit` {
        @Test
        fun `a customer at seven times its usual load gets its limit, and the others all they ask for`() {
            listOf(30, 87).forEach { size ->
                val fleet = fleet(size)
                val loud = limits.keys.first()
                limits.keys.forEach { customer ->
                    val factor = if (customer == loud) 7.0 else 1.0
                    fleet.submit(customer, { usual(customer) * factor }) { fleet.vms.random(fleet.random) }
                }
                fleet.advance(20.seconds)
                val account = fleet.accounts.getValue(loud)
                val admitted = account.admitted
                val refusedOthers = fleet.accounts.values.sumOf { it.refused } - account.refused
                val before = fleet.messages
                fleet.advance(60.seconds)
                val share = (account.admitted - admitted) / 60.0 / limits.getValue(loud).operationsPerSecond
                val others = fleet.accounts.values.sumOf { it.refused } - account.refused - refusedOthers
                val used = "%.4f of its limit".format(share)
                val rate = (fleet.messages - before) / 60
                println("$size VMs, one customer at 7 times its load: $used, $others others refused, $rate messages/s")
                expectThat(share).isGreaterThan(0.98)
                expectThat(others.toDouble() / (60 * OPERATIONS)).isLessThan(0.02)
                fleet.expectNoViolation()
            }
        }
    }

    @Nested
    inner class `a start of all VMs` {
        @Test
        fun `serves the usual load after the time for which former delegations last and the count settles`() {
            listOf(30, 87).forEach { size ->
                listOf(false, true).forEach { isReturning ->
                    val fleet = fleet(size)
                    fleet.vms.forEach { it.isReturning = isReturning }
                    fleet.submitAll(1.0) { fleet.vms.random(fleet.random) }
                    val refused = List(8) { fleet.underUse(1) }
                    val shown = refused.map { "%.2f".format(it) }
                    println("$size VMs after a start, known before: $isReturning, refused by second: $shown")
                    expectThat(refused[if (isReturning) 6 else 7]).isLessThan(0.05)
                    fleet.expectNoViolation()
                }
            }
        }
    }

    @Nested
    inner class `a refused caller` {
        @Test
        fun `that comes back when it was told is mostly admitted then`() {
            val customer = CustomerName("customer-3")
            val fleet = fleet(87)
            fleet.advance(30.seconds)
            val places = fleet.vms.take(18)
            var attempts = 0
            var served = 0

            fun attempt(vm: LimitSimulation.Vm) {
                attempts++
                vm.submit(customer) { retryAfter ->
                    if (retryAfter == null) served++ else fleet.after(retryAfter) { attempt(vm) }
                }
            }
            repeat(BURST) { attempt(places.random(fleet.random)) }
            fleet.advance(20.seconds)
            println("a burst of $BURST operations: $served served within 20 s in $attempts attempts")
            expectThat(served).isGreaterThan(BURST - 1)
            expectThat(attempts).isLessThan(BURST * 3)
        }
    }

    @Nested
    inner class `the exchange` {
        @Test
        fun `takes few messages, and without demand only those of the delegations`() {
            listOf(30, 87, 300).forEach { size ->
                val fleet = fleet(size)
                fleet.advance(20.seconds)
                val idle = fleet.messages
                fleet.advance(30.seconds)
                val busy = fleet.messages
                fleet.submitAll(1.0) { fleet.vms.random(fleet.random) }
                fleet.advance(30.seconds)
                val rates = "${(busy - idle) / 30} messages/s without demand, ${(fleet.messages - busy) / 30} with it"
                println("$size VMs: $rates")
                expectThat((busy - idle) / 30.0 / size).isLessThan(2 * 3 / 0.6 + 0.5)
                expectThat((fleet.messages - busy) / 30.0).isLessThan(2 * 3 / 0.6 * size + 2.5 * OPERATIONS)
            }
        }
    }

    private companion object {
        const val CUSTOMERS = 86
        const val OPERATIONS = 565.0
        const val HEADROOM = 1.6
        const val BURST = 300
    }
}
