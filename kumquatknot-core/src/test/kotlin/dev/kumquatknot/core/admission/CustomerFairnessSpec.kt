package dev.kumquatknot.core.admission

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A member with the customers of the reference workload, of which the largest sends seven times its usual load: that
 * is more than the member can serve. Guards against a customer that pushes others of its rank aside.
 */
class CustomerFairnessSpec {
    /** Operations of one route. */
    private class Route(val name: String, val rank: Rank, val share: Double, val work: Duration, val target: Duration)

    private class Operation(val at: Duration, val customer: Int, val route: Route)

    private class Event(val at: Duration, val operation: Operation?, val ended: Ticket?)

    private val routes = listOf(
        Route("booking", Rank.URGENT, 76.0 / 565, 6.milliseconds, 252.milliseconds),
        Route("mixed", Rank.STANDARD, 357.0 / 565, 18.milliseconds, 502.milliseconds),
        Route("report", Rank.BACKGROUND, 132.0 / 565, 30.milliseconds, 1_202.milliseconds),
    )

    private val sizes = (1..CUSTOMERS).map { it.toDouble().pow(-SKEW) }.let { all -> all.map { it / all.sum() } }

    /** Poisson arrivals of one customer at its size times [factor]; those of a customer are the same in each trial. */
    private fun arrivals(customer: Int, factor: Double): List<Operation> = routes.flatMapIndexed { index, route ->
        val random = Random(SEED + customer * routes.size + index)
        val rate = OPERATIONS_PER_SECOND * sizes[customer] * route.share * factor
        generateSequence(Duration.ZERO) { it + 1.seconds * (-ln(1 - random.nextDouble()) / rate) }
            .drop(1).takeWhile { it < LOAD_TIME }.map { Operation(it, customer, route) }.toList()
    }

    /** A member whose slots are granted by an [AdmissionQueue]. */
    private inner class Member(private val operations: List<Operation>) {
        private val queue = AdmissionQueue(SLOTS, AdmissionPolicy(selectFlow = ::strictRankWithinTeamShares))
        private val events = PriorityQueue(compareBy<Event> { it.at })
        private val running = HashMap<Ticket, Pair<Duration, Operation>>()
        private val waiting = HashMap<RequestId, Operation>()

        /** Operations that ended within their target. */
        val inTime = ArrayList<Operation>()

        fun play() {
            operations.forEach { events += Event(it.at, it, null) }
            while (events.isNotEmpty()) {
                val event = events.poll()
                event.operation?.let { offer(it) }
                event.ended?.let { end(it, event.at) }
            }
        }

        private fun offer(operation: Operation) {
            val item = item(operation)
            waiting[item.id] = operation
            when (val admission = queue.offer(item, operation.at)) {
                is Admission.Granted -> start(admission.ticket, operation.at)
                is Admission.Queued -> Unit
                is Admission.Refused -> waiting -= item.id
            }
        }

        private fun start(ticket: Ticket, now: Duration) {
            val operation = checkNotNull(waiting.remove(ticket.item.id))
            running[ticket] = now to operation
            events += Event(now + operation.route.work, null, ticket)
        }

        private fun end(ticket: Ticket, now: Duration) {
            val (startedAt, operation) = checkNotNull(running.remove(ticket))
            if (now - operation.at <= operation.route.target) inTime += operation
            queue.release(ticket, now, now - startedAt).granted.forEach { start(it, now) }
        }
    }

    /** Returns the share of the operations of all customers but the largest that end within their target. */
    private fun servedShareOfOthers(factorOfLargest: Double): Double {
        val operations = sizes.indices.flatMap { arrivals(it, if (it == 0) factorOfLargest else 1.0) }
        val member = Member(operations).also { it.play() }
        return member.inTime.count { it.customer != 0 }.toDouble() / operations.count { it.customer != 0 }
    }

    private var lastId = 0

    private fun item(operation: Operation) = WorkItem(
        RequestId("r${++lastId}"),
        TeamName("customer-${operation.customer}"),
        KindName(operation.route.name),
        operation.route.rank,
        floorPercent = 0,
        target = operation.route.target,
        deadline = operation.at + operation.route.target * 2 + 1.microseconds,
    )

    @Test
    fun `a customer at seven times its load costs others at most 2 percentage points within their targets`() {
        val usual = servedShareOfOthers(1.0)
        val flooded = servedShareOfOthers(FLOOD)
        expectThat(usual).isGreaterThan(0.98)
        expectThat(flooded).isGreaterThanOrEqualTo(usual - 0.02)
    }

    private companion object {
        const val SEED = 11L
        const val CUSTOMERS = 86
        const val SKEW = 1.2
        const val SLOTS = 4
        const val FLOOD = 7.0
        const val OPERATIONS_PER_SECOND = 100.0
        val LOAD_TIME = 60.seconds
    }
}
