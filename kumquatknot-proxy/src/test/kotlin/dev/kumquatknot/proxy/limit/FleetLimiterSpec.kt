package dev.kumquatknot.proxy.limit

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.customer.Customer
import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.customer.LimitWindow
import dev.kumquatknot.core.customer.RateLimit
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.interactive.StatementCall
import dev.kumquatknot.proxy.interactive.VirtualLoop
import dev.kumquatknot.proxy.metric.InteractiveMetrics
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FleetLimiterSpec {
    private val loop = VirtualLoop()
    private val fleet = FakeFleet(loop)
    private val events = CapturedEvents("FleetLimiterSpec")
    private var scheduled = 0

    private val route = InteractiveRoute(
        "database",
        DatabaseName("group"),
        ReadConsistency.CURRENT,
        2.seconds,
        400.milliseconds,
        Rank.URGENT,
        Duration.ZERO,
    )
    private val names = List(VMS) { VmName("vm-$it") }
    private val vms = names.map(::Vm)

    private inner class Vm(private val name: VmName) {
        val metrics = InteractiveMetrics()
        var limiters = names.take(3)
        val limiter = FleetLimiter(
            LimiterPlaces(name, name.hashCode().toLong(), { limiters }, { VMS }),
            fleet.Links(name),
            LimiterEnvironment(
                loop,
                { delay, task ->
                    scheduled++
                    loop.schedule(delay, task)
                },
                events.log,
                metrics,
            ),
            LimitWindow(5.seconds, overage = 0.1, slack = 20),
        )

        /** Outcomes of the operations so far that are decided; null is an admission. */
        val decided = ArrayList<StatementResult.Rejected?>()

        fun submit(customer: String?, count: Int = 1) = repeat(count) {
            val name = customer?.let(::CustomerName)
            val call = StatementCall(
                RequestId("r"),
                route,
                name,
                StatementAccess.READ,
                null,
                "READ 1",
                emptyMap(),
                null,
                loop.elapsed(),
            )
            limiter.admit(call) { decided += it }
        }

        val admitted get() = decided.count { it == null }
    }

    private fun configure(vararg limits: Pair<String, RateLimit?>) {
        val directory = CustomerDirectory(
            limits.map { (name, limit) ->
                Customer(CustomerName(name), emptySet(), limit)
            },
        )
        vms.forEach { it.limiter.configure(directory) }
    }

    private fun configureAndFill(limit: RateLimit) {
        configure("a" to limit)
        loop.advance(20.seconds)
    }

    @AfterEach
    fun detach() = events.close()

    @Nested
    inner class `without limited customers` {
        @Test
        fun `nothing is sent or scheduled, so that deployments without customers pay nothing`() {
            configure()
            vms.first().submit(null)
            loop.advance(20.seconds)
            expectThat(vms.first().decided).hasSize(1).get { first() }.isNull()
            expectThat(fleet.sent).isEmpty()
            expectThat(scheduled).isEqualTo(0)
        }

        @Test
        fun `operations of a customer without a limit, and those of no customer, are admitted at once`() {
            configure("free" to null)
            vms.first().submit("free", 100)
            vms.first().submit(null, 100)
            expectThat(vms.first().admitted).isEqualTo(200)
            expectThat(fleet.sent).isEmpty()
        }

        @Test
        fun `the exchange ends when a configuration removes the last limit`() {
            configureAndFill(RateLimit(10.0, 10.0))
            configure("a" to null)
            loop.advance(1.seconds)
            fleet.sent.clear()
            scheduled = 0
            loop.advance(20.seconds)
            expectThat(fleet.sent).isEmpty()
            expectThat(scheduled).isEqualTo(0)
        }
    }

    @Nested
    inner class `the limit of a customer` {
        @Test
        fun `holds for all VMs together`() {
            configureAndFill(RateLimit(10.0, 10.0))
            repeat(500) {
                vms.random().submit("a")
                loop.advance(10.milliseconds)
            }
            loop.advance(1.seconds)
            val admitted = vms.sumOf { it.admitted }
            expectThat(admitted).isLessThanOrEqualTo(86)
            expectThat(admitted).isGreaterThan(60)
            expectThat(vms.sumOf { it.decided.size }).isEqualTo(500)
        }

        @Test
        fun `is told to callers with a time at which there is room again`() {
            configureAndFill(RateLimit(10.0, 10.0))
            val vm = vms.last()
            vm.submit("a", 200)
            loop.advance(200.milliseconds)
            val refusal = vm.decided.filterNotNull().first()
            expectThat(refusal.code).isEqualTo(RejectionCode.BUSY)
            val milliseconds = Regex("retry after (\\d+) ms$").find(refusal.detail)?.groupValues?.get(1)
            expectThat(milliseconds).isNotNull()
            vm.decided.clear()
            loop.advance(milliseconds!!.toLong().milliseconds)
            vm.submit("a")
            loop.advance(100.milliseconds)
            expectThat(vm.admitted).isEqualTo(1)
        }

        @Test
        fun `is refused at once when no limiter has tokens`() {
            configureAndFill(RateLimit(10.0, 10.0))
            val vm = vms.last()
            vm.submit("a", 200)
            loop.advance(20.milliseconds)
            vm.decided.clear()
            vm.submit("a")
            expectThat(vm.decided).hasSize(1).get { first() }.isNotNull()
        }

        @Test
        fun `applies in full as soon as it is lowered`() {
            configureAndFill(RateLimit(100.0, 400.0))
            configure("a" to RateLimit(1.0, 1.0))
            loop.advance(1.seconds)
            vms.forEach { it.submit("a", 20) }
            loop.advance(1.seconds)
            expectThat(vms.sumOf { it.admitted }).isLessThanOrEqualTo(27)
        }

        @Test
        fun `is kept by two limiters when the link to the third is lost`() {
            configureAndFill(RateLimit(100.0, 100.0))
            fleet.lost += names.first()
            vms.last().limiter.disconnected(names.first())
            vms.last().submit("a", 40)
            loop.advance(50.milliseconds)
            expectThat(vms.last().admitted).isEqualTo(40)
        }
    }

    @Nested
    inner class `operators` {
        @Test
        fun `see refusals of a customer at most once a second in the log, and all of them in the metrics`() {
            configureAndFill(RateLimit(10.0, 10.0))
            val vm = vms.last()
            repeat(25) {
                vm.submit("a", 20)
                loop.advance(100.milliseconds)
            }
            expectThat(events.linesOf(Event.LIMIT_REACHED).size).isLessThanOrEqualTo(4).isGreaterThan(1)
            val refused = vm.decided.count { it != null }.toDouble()
            expectThat(vm.metrics.exposition())
                .contains("kumquatknot_customer_operations_total{customer=\"a\",outcome=\"refused\"} $refused")
        }

        @Test
        fun `see which VMs count for this one`() {
            configureAndFill(RateLimit(10.0, 10.0))
            vms.last().limiters = names.takeLast(3)
            loop.advance(5.seconds)
            expectThat(events.linesOf(Event.LIMITERS_CHANGED).last()).contains(names.last().value)
        }

        @Test
        fun `see the 20 customers with the most operations by name and the others together`() {
            configure(*Array(30) { "customer-$it" to null })
            repeat(30) { vms.first().submit("customer-$it", it + 1) }
            val lines = vms.first().metrics.exposition().lines().filter { "outcome=\"admitted\"" in it }
            expectThat(lines).hasSize(21)
            expectThat(lines).contains("kumquatknot_customer_operations_total{customer=\"\",outcome=\"admitted\"} 55.0")
        }
    }

    private companion object {
        const val VMS = 6
    }
}
