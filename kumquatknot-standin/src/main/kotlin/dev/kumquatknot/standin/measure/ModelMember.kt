package dev.kumquatknot.standin.measure

import dev.kumquatknot.core.admission.Admission
import dev.kumquatknot.core.admission.AdmissionPolicy
import dev.kumquatknot.core.admission.AdmissionQueue
import dev.kumquatknot.core.admission.QueueChanges
import dev.kumquatknot.core.admission.Ticket
import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.routing.MemberLoad
import kotlin.time.Duration

/** A statement at a member of the model. */
internal class Statement(
    val item: WorkItem,
    val proxy: Int,
    val serviceTime: Duration,
    val onFinished: () -> Unit,
    val onRefused: (Admission.Refused) -> Unit,
)

/** Queue and slots of one member of the model. */
internal interface ModelMember {
    val load: MemberLoad

    /** Time during which a slot idled while a statement waited. */
    val idleWhileWaiting: Duration

    fun submit(statement: Statement)
}

/**
 * How much longer a statement takes with [running] statements at the member.
 *
 * @property parallel statements that run side by side without slowing each other down.
 */
internal class Contention(private val loss: Double = 0.02, var parallel: Int) {
    fun factor(running: Int): Double {
        val excess = running - parallel
        return if (excess <= 0) 1.0 else running.toDouble() / parallel * (1.0 + loss * excess)
    }
}

/** A member behind the real [AdmissionQueue]. */
internal class AdmittedMember(
    private val loop: EventLoop,
    private val slots: Int,
    private val contention: Contention,
    policy: AdmissionPolicy,
) : ModelMember {
    private val queue = AdmissionQueue(slots, policy)
    private val waiting = HashMap<Ticket, Statement>()
    private var idleSince: Duration? = null
    private var running = 0

    override var idleWhileWaiting: Duration = Duration.ZERO
        private set

    override val load: MemberLoad
        get() {
            val load = queue.load()
            return MemberLoad(slots, load.inFlight, load.queued.values.sum(), load.wait, load.serviceTime)
        }

    override fun submit(statement: Statement) {
        when (val admission = queue.offer(statement.item, loop.now)) {
            is Admission.Granted -> start(admission.ticket, statement)
            is Admission.Queued -> waiting[admission.ticket] = statement
            is Admission.Refused -> statement.onRefused(admission)
        }
        noteIdle()
    }

    private fun start(ticket: Ticket, statement: Statement) {
        running++
        val serviceTime = statement.serviceTime * contention.factor(running)
        loop.after(serviceTime) {
            running--
            apply(queue.release(ticket, loop.now, serviceTime))
            statement.onFinished()
            noteIdle()
        }
    }

    private fun apply(changes: QueueChanges) {
        changes.granted.forEach { start(it, waiting.remove(it) ?: error("$it did not wait")) }
        changes.expired.forEach { waiting.remove(it.ticket)?.onRefused?.invoke(it.refusal) }
    }

    private fun noteIdle() {
        idleSince?.let { idleWhileWaiting += loop.now - it }
        idleSince = loop.now.takeIf { running < slots && waiting.isNotEmpty() }
    }
}

/**
 * A member without admission: each of [proxies] has its own first-in-first-out queue and [connectionsEach] connections.
 * Work whose caller has given up still runs.
 */
internal class PlainMember(
    private val loop: EventLoop,
    private val slots: Int,
    private val contention: Contention,
    private val proxies: Int,
    private val connectionsEach: Int,
) : ModelMember {
    private val queues = List(proxies) { ArrayDeque<Statement>() }
    private val runningEach = IntArray(proxies)

    override val idleWhileWaiting: Duration = Duration.ZERO

    override val load: MemberLoad
        get() = MemberLoad(slots, runningEach.sum(), queues.sumOf { it.size }, Duration.ZERO, Duration.ZERO)

    override fun submit(statement: Statement) {
        val proxy = statement.proxy % proxies
        queues[proxy].addLast(statement)
        startNext(proxy)
    }

    private fun startNext(proxy: Int) {
        if (runningEach[proxy] >= connectionsEach) return
        val statement = queues[proxy].removeFirstOrNull() ?: return
        runningEach[proxy]++
        loop.after(statement.serviceTime * contention.factor(runningEach.sum())) {
            runningEach[proxy]--
            startNext(proxy)
            statement.onFinished()
        }
    }
}
