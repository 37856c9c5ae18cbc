package dev.kumquatknot.proxy.limit

import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.customer.LimitWindow
import dev.kumquatknot.core.customer.RateLimit
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.limit.LimitBudget
import dev.kumquatknot.core.limit.LimitReport
import dev.kumquatknot.core.limit.LimiterAccess
import dev.kumquatknot.core.limit.LimiterState
import dev.kumquatknot.core.limit.TokenHolder
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.fleet.PeerListener
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.PeerNetwork
import dev.kumquatknot.proxy.interactive.Cancel
import dev.kumquatknot.proxy.interactive.OperationLimiter
import dev.kumquatknot.proxy.interactive.Schedule
import dev.kumquatknot.proxy.interactive.StatementCall
import dev.kumquatknot.proxy.metric.InteractiveMetrics
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a [FleetLimiter] knows of the fleet.
 *
 * @property self name of this VM.
 * @property run random number of this process.
 * @property limiters the limiter VMs in order, of which the first three count; this VM may be one of them.
 * @property registered number of registered VMs, this one included; 0 while it is unknown.
 * @property isNear whether a limiter VM is in this VM's region.
 * @property isReturning whether this VM's name was registered before this process started.
 */
internal class LimiterPlaces(
    val self: VmName,
    val run: Long,
    val limiters: () -> List<VmName>,
    val registered: () -> Int,
    val isReturning: () -> Boolean = { false },
    val isNear: (VmName) -> Boolean = { false },
)

/**
 * Event loop of a VM, on which a [FleetLimiter] is used.
 *
 * @property schedule runs a task on that loop.
 */
internal class LimiterEnvironment(
    val clock: Clock,
    val schedule: Schedule,
    val events: EventLog,
    val metrics: InteractiveMetrics,
)

/**
 * Admits operations within the limits of their customers, which all VMs of the fleet count together: requests tokens
 * from limiter VMs, and is a limiter for others that ask this VM. Without limited customers it sends and schedules
 * nothing.
 */
internal class FleetLimiter(
    private val places: LimiterPlaces,
    private val network: PeerNetwork,
    private val environment: LimiterEnvironment,
    window: LimitWindow,
) : OperationLimiter, PeerListener {
    private val budget = LimitBudget(window)
    private val limiter = LimiterState(places.run, budget, places.registered)
    private val holder = TokenHolder(
        run = places.run,
        startedAt = now(),
        budget = budget,
        access = LimiterAccess(places.limiters, places.registered, places.isReturning, places.isNear, ::send),
        onLimitersChanged = ::logLimiters,
    )
    private val refusals = RefusalLog(environment.events)
    private val ownReports = ArrayDeque<LimitReport>()
    private var limits = emptyMap<CustomerName, RateLimit>()
    private var isAnsweringOwn = false
    private var wakeAt = Duration.INFINITE
    private var cancelWake: Cancel? = null

    init {
        network.addListener(this)
    }

    override fun configure(customers: CustomerDirectory) {
        val next = customers.customers.mapNotNull { customer -> customer.limit?.let { customer.name to it } }.toMap()
        if (next == limits) return
        limits = next
        limiter.configure(now(), next)
        step { holder.configure(now(), next) }
    }

    override fun admit(call: StatementCall, done: (StatementResult.Rejected?) -> Unit) {
        val customer = call.customer ?: return done(null)
        if (customer !in limits) {
            environment.metrics.customerOperation(customer, isAdmitted = true)
            return done(null)
        }
        val until = call.startedAt + call.route.target * WAIT_SHARE
        step {
            holder.admit(now(), customer, (until - now()).coerceAtLeast(Duration.ZERO)) { retryAfter ->
                environment.metrics.customerOperation(customer, isAdmitted = retryAfter == null)
                done(retryAfter?.let { refusal(customer, it) })
            }
        }
    }

    override fun received(vm: VmName, message: PeerMessage) {
        if (limits.isEmpty()) return
        message.limitReport?.let {
            val grant = limiter.receive(now(), vm, it.toReport())
            network.send(vm, PeerMessage(limitGrant = grant.toPayload()))
        }
        message.limitGrant?.let { step { holder.receive(now(), vm, it.toGrant()) } }
    }

    override fun disconnected(vm: VmName) {
        if (limits.isNotEmpty()) step { holder.disconnected(now(), vm) }
    }

    private fun refusal(customer: CustomerName, retryAfter: Duration): StatementResult.Rejected {
        val milliseconds = retryAfter.inWholeMilliseconds + 1
        refusals.refused(now(), customer, milliseconds)
        return OperationLimiter.rejection(customer.value, milliseconds)
    }

    private fun send(to: VmName, report: LimitReport): Boolean {
        if (to != places.self) return network.send(to, PeerMessage(limitReport = report.toPayload()))
        ownReports += report
        return true
    }

    /** Runs [task], then answers the reports that it sent to this VM itself. */
    private fun step(task: () -> Unit) {
        task()
        if (isAnsweringOwn) return
        isAnsweringOwn = true
        try {
            while (ownReports.isNotEmpty()) {
                val grant = limiter.receive(now(), places.self, ownReports.removeFirst())
                holder.receive(now(), places.self, grant)
            }
        } finally {
            isAnsweringOwn = false
        }
        scheduleNext()
    }

    private fun scheduleNext() {
        val next = holder.nextStep(now())
        if (next == Duration.INFINITE || next < wakeAt) {
            cancelWake?.invoke()
            cancelWake = null
            wakeAt = Duration.INFINITE
        }
        if (next < wakeAt) {
            wakeAt = next
            cancelWake = environment.schedule((next - now()).coerceAtLeast(Duration.ZERO)) {
                wakeAt = Duration.INFINITE
                step { holder.advance(now()) }
            }
        }
    }

    private fun logLimiters(limiters: List<VmName>) = environment.events.log(
        Event.LIMITERS_CHANGED,
        "limiters" to limiters.joinToString(),
    )

    private fun now() = environment.clock.elapsed()

    private companion object {
        /** Share of the target latency for which an operation waits for a token; the rest is for the statement. */
        const val WAIT_SHARE = 0.25
    }
}

/** Logs the refusals of each customer at most once a second. */
private class RefusalLog(private val events: EventLog) {
    private val customers = HashMap<CustomerName, Refusals>()

    fun refused(now: Duration, customer: CustomerName, retryAfterMillis: Long) {
        val refusals = customers.getOrPut(customer) { Refusals() }
        refusals.count++
        if (now < refusals.loggedAt + INTERVAL) return
        events.log(
            Event.LIMIT_REACHED,
            "customer" to customer.value,
            "refused" to refusals.count,
            "retryAfterMs" to retryAfterMillis,
        )
        refusals.count = 0
        refusals.loggedAt = now
    }

    private class Refusals {
        var count = 0
        var loggedAt = -Duration.INFINITE
    }

    private companion object {
        val INTERVAL = 1.seconds
    }
}
