package dev.kumquatknot.core.limit

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.customer.LimitWindow
import dev.kumquatknot.core.customer.RateLimit
import dev.kumquatknot.core.identity.VmName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LimiterStateSpec {
    private val customer = CustomerName("a")
    private val budget = LimitBudget(LimitWindow(5.seconds, overage = 0.1, slack = 20))
    private val limiter = LimiterState(RUN, budget) { VMS }.also {
        it.configure(0.seconds, mapOf(customer to RateLimit(RATE, BURST)))
    }
    private val reports = HashMap<VmName, Long>()

    private fun vm(index: Int) = VmName("vm-$index")

    private fun report(
        now: Duration,
        from: VmName,
        stamp: Duration? = now,
        wanted: Int = 0,
        run: Long = RUN,
        returned: List<ReturnedTokens> = emptyList(),
    ): LimitGrant {
        val number = reports.merge(from, 1, Long::plus)!!
        val demands = if (wanted > 0) listOf(TokenDemand(customer, wanted)) else emptyList()
        val echo = stamp?.let { LimiterStamp(run, it) }
        return limiter.receive(now, from, LimitReport(9, number, echo, 1, VMS, VMS, demands, returned))
    }

    /** All VMs delegate from [from] to [until]. */
    private fun delegate(from: Duration, until: Duration) {
        var now = from
        while (now <= until) {
            repeat(VMS) { report(now, vm(it)) }
            now += 500.milliseconds
        }
    }

    /** Returns the tokens that are left where 3 of 4 granted ones come back at an [age]; 10 a second are added. */
    private fun leftAfterReturn(age: Duration): Int {
        delegate(10.seconds, 11.seconds)
        check(granted(11.seconds, wanted = 4) == 4)
        val returned = listOf(ReturnedTokens(customer, 3, reports.getValue(vm(0))))
        report(11.seconds + age, vm(0), returned = returned)
        return granted(11.seconds + age)
    }

    private fun granted(now: Duration, wanted: Int = 1_000) =
        report(now, vm(0), stamp = null, wanted = wanted).grants.single().tokens

    @Nested
    inner class `a delegation` {
        @Test
        fun `counts until 2 s after the stamp, however late its report comes`() {
            report(11.seconds, vm(0), stamp = 10.seconds)
            report(11.9.seconds, vm(1), stamp = null)
            expectThat(limiter.share).isEqualTo(1.0 / 3 / VMS)
            report(12.seconds, vm(1), stamp = null)
            expectThat(limiter.share).isEqualTo(0.0)
        }

        @Test
        fun `does not count with a stamp of another process, whose clock is another`() {
            report(11.seconds, vm(0), stamp = 10.seconds, run = RUN + 1)
            expectThat(limiter.share).isEqualTo(0.0)
        }

        @Test
        fun `counts no longer than from now with a stamp of the future`() {
            report(11.seconds, vm(0), stamp = 100.seconds)
            report(13.seconds, vm(1), stamp = null)
            expectThat(limiter.share).isEqualTo(0.0)
        }
    }

    @Nested
    inner class `tokens` {
        @Test
        fun `come at the delegated share of the rate, up to the share of the buckets, from an empty bucket`() {
            delegate(10.seconds, 11.seconds)
            expectThat(granted(11.seconds)).isEqualTo((RATE / 3).toInt())
            delegate(11.5.seconds, 60.seconds)
            expectThat(granted(60.seconds)).isEqualTo((budget.capacity(RateLimit(RATE, BURST)) / 3).toInt())
        }

        @Test
        fun `are dropped when a lower limit comes`() {
            delegate(10.seconds, 60.seconds)
            limiter.configure(60.seconds, mapOf(customer to RateLimit(1.0, 1.0)))
            expectThat(granted(60.seconds)).isEqualTo(6)
        }

        @Test
        fun `are dropped with the delegations that lapse`() {
            delegate(10.seconds, 60.seconds)
            expectThat(granted(62.seconds)).isEqualTo(0)
        }

        @Test
        fun `come back while they are valid, and never later`() {
            for (age in listOf(200.milliseconds, 300.milliseconds)) {
                val fresh = LimiterStateSpec()
                expectThat(fresh.leftAfterReturn(age)).isEqualTo(if (age < budget.tokenLife) 11 else 9)
            }
        }

        @Test
        fun `of an unknown customer never come`() {
            delegate(10.seconds, 60.seconds)
            val demand = listOf(TokenDemand(CustomerName("unknown"), 1))
            val grant = limiter.receive(60.seconds, vm(0), LimitReport(9, 1_000, demands = demand)).grants.single()
            expectThat(grant.tokens).isEqualTo(0)
            expectThat(grant.retryAfter).isNull()
        }
    }

    private companion object {
        const val RUN = 5L
        const val VMS = 10
        const val RATE = 30.0
        const val BURST = 30.0
    }
}
