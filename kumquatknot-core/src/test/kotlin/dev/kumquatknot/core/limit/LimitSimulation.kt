package dev.kumquatknot.core.limit

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.customer.LimitWindow
import dev.kumquatknot.core.customer.RateLimit
import dev.kumquatknot.core.identity.VmName
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A fleet of limiters and token holders on simulated time, with messages that take the time between regions. */
internal class LimitSimulation(seed: Long, size: Int, private val limits: Map<CustomerName, RateLimit>) {
    val random = Random(seed)
    val window = LimitWindow(5.seconds, overage = 0.1, slack = 20)
    val budget = LimitBudget(window)
    val vms = ArrayList<Vm>()
    val accounts = limits.keys.associateWith { Account(it) }
    var now = 0.seconds
        private set
    var messages = 0L
        private set

    /** Share of messages that are lost. */
    var lossShare = 0.0

    /** Share of messages that are late by up to 3 s. */
    var lateShare = 0.0
    val cutLinks = HashSet<Pair<VmName, VmName>>()
    private val tasks = PriorityQueue<Task>(compareBy<Task> { it.at }.thenBy { it.number })
    private var tasksSoFar = 0L

    init {
        repeat(size) { add() }
    }

    /** Adds a VM with a new name, which starts now. */
    fun add(): Vm = Vm(VmName("vm-${vms.size}"), vms.size % REGIONS).also { vms += it }.also { it.start() }

    fun after(delay: Duration, run: () -> Unit) {
        tasks += Task(now + delay, tasksSoFar++, run)
    }

    fun advance(time: Duration) {
        val until = now + time
        while (tasks.isNotEmpty() && tasks.peek().at <= until) {
            val task = tasks.poll()
            now = task.at
            task.run()
        }
        now = until
    }

    /**
     * Submits operations of [customer] at the rate that [perSecond] returns, at the VMs that [place] returns, at random
     * times.
     */
    fun submit(customer: CustomerName, perSecond: () -> Double, place: () -> Vm) {
        val rate = perSecond()
        val delay = if (rate > 0) (-ln(1 - random.nextDouble()) / rate).seconds else PAUSE
        after(minOf(delay, PAUSE)) {
            if (delay < PAUSE) place().submit(customer)
            submit(customer, perSecond, place)
        }
    }

    fun limit(customer: CustomerName) = limits.getValue(customer)

    private fun transmit(from: Vm, to: VmName, deliver: (Vm) -> Unit): Boolean {
        messages++
        if (from.name to to in cutLinks || random.nextDouble() < lossShare) return true
        val target = vms.first { it.name == to }
        if (!target.isAlive) return random.nextBoolean()
        val late = if (random.nextDouble() < lateShare) 3.seconds * random.nextDouble() else Duration.ZERO
        val way = if (from.region == target.region) 0.9.milliseconds else 8.milliseconds
        after(way + late) { target.whenThawed { deliver(target) } }
        return true
    }

    /** One VM. Its clock has an origin of its own in each run of the process. */
    inner class Vm(val name: VmName, val region: Int) {
        var isAlive = false
            private set

        /** Number of registered VMs that this VM sees; 0 while it knows none. */
        var registered: () -> Int = { vms.size }

        /** The VMs in the order in which this one sees them as limiters. */
        var order: () -> List<VmName> = { vms.filter { it.isAlive }.take(3).map { it.name } }

        /** Whether this is not the first process of the VM, or the fleet ran before. */
        var isReturning = false
        private var run = 0L
        private var origin = 0.seconds
        private var frozenUntil = 0.seconds
        private var wakeAt = Duration.INFINITE
        private lateinit var holder: TokenHolder
        private lateinit var limiter: LimiterState

        val limiterShare get() = limiter.share

        private val clock get() = now + origin

        fun start() {
            isAlive = true
            run = random.nextLong()
            origin = 100.seconds * random.nextDouble()
            wakeAt = Duration.INFINITE
            limiter = LimiterState(run, budget) { registered() }
            holder =
                TokenHolder(
                    run,
                    clock,
                    budget,
                    LimiterAccess({
                        order()
                    }, { registered() }, { isReturning }, send = ::send),
                )
            limiter.configure(clock, limits)
            holder.configure(clock, limits)
            wake()
        }

        fun kill() {
            isAlive = false
            isReturning = true
        }

        fun freeze(time: Duration) {
            frozenUntil = now + time
        }

        fun configure(next: Map<CustomerName, RateLimit>) = whenThawed {
            limiter.configure(clock, next)
            holder.configure(clock, next)
        }

        fun submit(customer: CustomerName, decided: (Duration?) -> Unit = {}) = whenThawed {
            if (!isAlive) return@whenThawed
            val account = accounts.getValue(customer)
            account.offered++
            holder.admit(clock, customer, 63.milliseconds) { retryAfter ->
                if (retryAfter == null) account.admitted(now) else account.refused(retryAfter)
                decided(retryAfter)
            }
            wake()
        }

        fun whenThawed(task: () -> Unit) {
            if (now >= frozenUntil) task() else after(frozenUntil - now) { whenThawed(task) }
        }

        private fun send(to: VmName, report: LimitReport): Boolean {
            val process = run
            return transmit(this, to) { target ->
                val grant = target.limiter.receive(target.clock, name, report)
                target.transmit(this) {
                    if (isAlive && (process == run || random.nextBoolean())) {
                        holder.receive(clock, target.name, grant)
                        wake()
                    }
                }
            }
        }

        private fun transmit(to: Vm, deliver: () -> Unit) {
            if (isAlive) this@LimitSimulation.transmit(this, to.name) { deliver() }
        }

        private fun wake() {
            val next = holder.nextStep(clock) - origin
            if (next >= wakeAt) return
            wakeAt = next
            val process = run
            after((next - now).coerceAtLeast(Duration.ZERO)) {
                whenThawed {
                    if (isAlive && process == run && wakeAt == next) {
                        wakeAt = Duration.INFINITE
                        holder.advance(clock)
                        wake()
                    }
                }
            }
        }
    }

    /** Operations of one customer on all VMs. */
    inner class Account(private val customer: CustomerName) {
        private val inWindow = ArrayDeque<Duration>()
        private val bound = budget.bound(limit(customer))
        var offered = 0L
        var admitted = 0L
            private set
        var refused = 0L
            private set
        var highest = 0
            private set
        var violation: String? = null
            private set

        fun admitted(at: Duration) {
            admitted++
            inWindow.addLast(at)
            while (inWindow.first() < at - window.window) inWindow.removeFirst()
            highest = maxOf(highest, inWindow.size)
            if (inWindow.size > bound) {
                violation = violation ?: "$customer: ${inWindow.size} operations in a window at $at, $bound are allowed"
            }
        }

        fun refused(retryAfter: Duration) {
            refused++
            if (retryAfter < Duration.ZERO) violation = violation ?: "$customer: told to return after $retryAfter"
        }
    }

    private class Task(val at: Duration, val number: Long, val run: () -> Unit)

    companion object {
        const val REGIONS = 3
        private val PAUSE = 100.milliseconds
    }
}
