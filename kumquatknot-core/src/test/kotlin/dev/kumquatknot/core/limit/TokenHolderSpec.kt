package dev.kumquatknot.core.limit

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.customer.LimitWindow
import dev.kumquatknot.core.customer.RateLimit
import dev.kumquatknot.core.identity.VmName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TokenHolderSpec {
    private val customer = CustomerName("a")
    private val budget = LimitBudget(LimitWindow(5.seconds, overage = 0.1, slack = 20))
    private val limiters = listOf("x", "y", "z").map(::VmName)
    private val sent = ArrayList<Pair<VmName, LimitReport>>()
    private val decided = ArrayList<Duration?>()
    private var registered = 0
    private var near = emptySet<VmName>()
    private val holder = TokenHolder(
        run = 1,
        startedAt = 0.seconds,
        budget,
        LimiterAccess({ limiters }, { registered }, { false }, { it in near }) { limiter, report ->
            sent.add(limiter to report)
        },
    ).also { it.configure(0.seconds, mapOf(customer to RateLimit(4.0, 4.0))) }

    private fun admit(now: Duration) = holder.admit(now, customer, 60.milliseconds) { decided += it }

    private fun answer(now: Duration, tokens: Int, to: Pair<VmName, LimitReport> = sent.last()) {
        val (limiter, report) = to
        val grants = report.demands.map { TokenGrant(it.customer, tokens, 200.milliseconds) }
        val stamp = LimiterStamp(2, now)
        holder.receive(now, limiter, LimitGrant(1, report.number, stamp, 0, grants))
    }

    @Test
    fun `asks the limiters in turn, and refuses when all have said that they have none`() {
        admit(1.seconds)
        val asked = List(3) {
            val last = sent.last { (_, report) -> report.demands.isNotEmpty() }
            answer(1.01.seconds, tokens = 0, last)
            last.first
        }
        expectThat(asked.toSet()).hasSize(3)
        expectThat(decided).hasSize(1).get { first() }.isNotNull()
        admit(1.02.seconds)
        expectThat(decided).hasSize(2).get { last() }.isNotNull()
    }

    @Test
    fun `asks the limiter of its region first, so that operations wait for no round trip between regions`() {
        near = setOf(VmName("y"))
        repeat(4) { number ->
            admit(1.seconds + 300.milliseconds * number)
            answer(1.01.seconds + 300.milliseconds * number, tokens = 1, sent.last { it.second.demands.isNotEmpty() })
        }
        expectThat(sent.filter { it.second.demands.isNotEmpty() }.map { it.first.value }).all { isEqualTo("y") }
        expectThat(decided).containsExactly(null, null, null, null)
    }

    @Test
    fun `does not use a token that comes after its life, since the bound counts the time from its grant`() {
        admit(1.seconds)
        val request = sent.last()
        holder.advance(1.06.seconds)
        expectThat(decided).hasSize(1).get { first() }.isNotNull()
        answer(1.seconds + budget.tokenLife, tokens = 5, request)
        admit(1.3.seconds)
        expectThat(decided).hasSize(1)
    }

    @Test
    fun `uses tokens within their life, and returns what is left before they lapse`() {
        admit(1.seconds)
        answer(1.01.seconds, tokens = 3)
        admit(1.02.seconds)
        expectThat(decided).containsExactly(null, null)
        holder.advance(1.15.seconds)
        expectThat(sent.flatMap { it.second.returned }.map { it.tokens }).containsExactly(1)
    }

    @Test
    fun `ignores grants for a former process of this VM`() {
        admit(1.seconds)
        val (limiter, report) = sent.last()
        val grant = TokenGrant(customer, 1, null)
        holder.receive(
            1.01.seconds,
            limiter,
            LimitGrant(9, report.number, LimiterStamp(2, 1.seconds), 0, listOf(grant)),
        )
        expectThat(decided).hasSize(0)
    }

    @Test
    fun `asks another limiter when one leaves a request unanswered`() {
        admit(1.seconds)
        val first = sent.last().first
        holder.advance(1.04.seconds)
        val second = sent.last { (_, report) -> report.demands.isNotEmpty() }
        expectThat(second.first != first).isTrue()
        answer(1.05.seconds, tokens = 1, second)
        expectThat(decided).hasSize(1).get { first() }.isNull()
    }

    @Test
    fun `divides by the largest fleet until the number of VMs is known for a while, and when it is lost again`() {
        fun divisorAt(now: Duration): Int {
            holder.advance(now)
            return sent.last().second.divisor
        }
        registered = 0
        expectThat(divisorAt(3.seconds)).isEqualTo(300)
        registered = 87
        expectThat(divisorAt(4.seconds)).isEqualTo(300)
        expectThat(divisorAt(7.seconds)).isEqualTo(300)
        expectThat(divisorAt(8.seconds)).isEqualTo(87)
        registered = 60
        expectThat(divisorAt(9.seconds)).isEqualTo(87)
        expectThat(divisorAt(19.seconds)).isEqualTo(60)
        registered = 0
        expectThat(divisorAt(60.seconds)).isEqualTo(300)
    }

    @Test
    fun `delegates nothing without a recent stamp`() {
        holder.advance(10.seconds)
        expectThat(sent.map { it.second.thirds }).all { isEqualTo(0) }
        answer(10.01.seconds, tokens = 0)
        expectThat(sent.last().second.thirds).isEqualTo(1)
        holder.advance(11.6.seconds)
        expectThat(sent.takeLast(3).map { it.second.thirds }).containsExactly(0, 0, 0)
    }
}
