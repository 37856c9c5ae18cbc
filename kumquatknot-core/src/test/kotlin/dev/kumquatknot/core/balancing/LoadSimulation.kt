package dev.kumquatknot.core.balancing

import dev.kumquatknot.core.admission.DurationAverage
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.ReadCandidate
import dev.kumquatknot.core.interactive.ReadPlacement
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.math.sqrt
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Chooses the index of one of [options]; each simulated VM has a rule of its own. */
internal fun interface ChoiceRule {
    fun choose(options: List<ReadCandidate>): Int
}

/** What a VM learns beside the response times of its own statements. */
internal enum class Knowledge {
    OWN_ANSWERS,

    /** Each VM gets the load of all members twice a second, with the messages of other VMs. */
    REPORTS,
}

/**
 * Result of a simulation.
 *
 * @property spread coefficient of variation of the members' busy slots per slot in each second, averaged over time.
 * @property momentary the same at single moments.
 * @property occupied the same at single moments, with the statements that wait at the member.
 * @property uneven share of the time in which one member queues while another has a free slot.
 * @property questions messages to members that only ask for their load.
 */
internal data class LoadFigures(
    val spread: Double,
    val momentary: Double,
    val occupied: Double,
    val uneven: Double,
    val meanWait: Duration,
    val lateWait: Duration,
    val refused: Int,
    val questions: Int,
) {
    override fun toString(): String =
        (
            "CV of busy slots %.3f a second, %.3f at a moment, %.3f with queues; uneven %.3f, " +
                "mean wait %.2f ms, p99 %.1f ms, refused %d, load questions %d"
        ).format(
            spread,
            momentary,
            occupied,
            uneven,
            meanWait.inWholeMicroseconds / 1_000.0,
            lateWait.inWholeMicroseconds / 1_000.0,
            refused,
            questions,
        )
}

/** Many VMs send reads to the members of one group, which differ in speed; seeded and without a network. */
internal class LoadSimulation(seed: Long, private val knowledge: Knowledge, newRule: (Random) -> ChoiceRule) {
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.number })
    private val members = listOf(0.5, 1.0, 2.0).map { SimulatedMember(it) }
    private val vms = List(VMS) { SimulatedVm(it, newRule(Random(random.nextLong()))) }
    private val waits = ArrayList<Duration>()
    private val busySamples = ArrayList<List<Double>>()
    private val occupiedSamples = ArrayList<List<Double>>()
    private var now = Duration.ZERO
    private var scheduled = 0L
    private var unevenSamples = 0
    private var refused = 0
    private var questions = 0

    fun run(time: Duration): LoadFigures {
        vms.forEach { it.start() }
        sample()
        while (true) {
            val next = events.poll()
            if (next.at > WARM_UP + time) break
            now = next.at
            next.task()
        }
        waits.sort()
        return LoadFigures(
            spread = busySamples.chunked((1.seconds / SAMPLE_INTERVAL).toInt()) { chunk ->
                variation(members.indices.map { index -> chunk.sumOf { it[index] } / chunk.size })
            }.average(),
            momentary = busySamples.map(::variation).average(),
            occupied = occupiedSamples.map(::variation).average(),
            uneven = unevenSamples.toDouble() / busySamples.size,
            meanWait = waits.fold(Duration.ZERO) { sum, wait -> sum + wait } / waits.size,
            lateWait = waits[(waits.size * 0.99).toInt()],
            refused = refused,
            questions = questions,
        )
    }

    private fun after(delay: Duration, task: () -> Unit) {
        events += Event(now + delay, scheduled++, task)
    }

    private fun sample() {
        after(SAMPLE_INTERVAL) { sample() }
        if (now < WARM_UP) return
        busySamples += members.map { it.busy.toDouble() / SLOTS }
        occupiedSamples += members.map { (it.busy + it.queued).toDouble() / SLOTS }
        if (members.any { it.queued > 0 } && members.any { it.busy < SLOTS }) unevenSamples++
    }

    private fun variation(values: List<Double>): Double {
        val mean = values.average()
        return if (mean == 0.0) 0.0 else sqrt(values.sumOf { (it - mean) * (it - mean) } / values.size) / mean
    }

    private fun exponential(mean: Duration) = mean * -ln(1 - random.nextDouble())

    /** Work of one of the three kinds of the reference workload, in their proportions. */
    private fun work(): Duration = when (random.nextInt(565)) {
        in 0 until 76 -> 6.milliseconds
        in 76 until 208 -> 30.milliseconds
        else -> 18.milliseconds
    }

    private class Event(val at: Duration, val number: Long, val task: () -> Unit)

    private class Read(val arrivedAt: Duration, val work: Duration) {
        val tried = HashSet<Int>()
    }

    /** Runs [SLOTS] statements at a time and queues [QUEUE] more. */
    private inner class SimulatedMember(private val speed: Double) {
        private val queue = ArrayDeque<Pair<Read, () -> Unit>>()
        val queued: Int get() = queue.size
        var busy = 0
            private set

        /** Returns whether the member takes [read]; calls [done] when it has run it. */
        fun offer(read: Read, done: () -> Unit): Boolean {
            when {
                busy < SLOTS -> begin(read, done)
                queue.size < QUEUE -> queue.addLast(read to done)
                else -> return false
            }
            return true
        }

        private fun begin(read: Read, done: () -> Unit) {
            busy++
            if (read.arrivedAt >= WARM_UP) waits += now - read.arrivedAt
            after(read.work / speed) {
                busy--
                queue.removeFirstOrNull()?.let { (next, nextDone) -> begin(next, nextDone) }
                done()
            }
        }
    }

    /** One VM with its own queue for each member, as in a pool that fills two thirds of a member's slots. */
    private inner class SimulatedVm(private val number: Int, private val rule: ChoiceRule) {
        private val loads = members.map { MemberLoad(SLOTS) }
        private val distances = members.map { (1_800 + random.nextInt(400)).microseconds }
        private val services = members.map { DurationAverage(0.1, 20.milliseconds) }
        private val queues = members.map { ArrayDeque<Read>() }
        private val inFlight = IntArray(members.size)

        fun start() {
            after(exponential(INTERVAL)) { arrive() }
            if (knowledge == Knowledge.REPORTS) after(REPORT_INTERVAL * random.nextDouble()) { receiveReports() }
        }

        private fun receiveReports() {
            after(REPORT_INTERVAL) { receiveReports() }
            members.forEachIndexed { index, member ->
                loads[index].recordReport(REPORTER, member.busy, member.queued, Duration.ZERO, now)
            }
        }

        private fun arrive() {
            after(exponential(INTERVAL)) { arrive() }
            place(Read(now, work()))
        }

        private fun place(read: Read) {
            val indexes = members.indices.filter { it !in read.tried }
            if (indexes.isEmpty()) {
                refused++
                if (read.arrivedAt >= WARM_UP) waits += now - read.arrivedAt
                return
            }
            val index = indexes[rule.choose(indexes.map(::candidate))]
            loads[index].recordSent(now)
            if (inFlight[index] < OWN_SLOTS) send(index, read) else queues[index].addLast(read)
        }

        private fun candidate(index: Int): ReadCandidate {
            val ahead = queues[index].size + inFlight[index] - OWN_SLOTS + 1
            return ReadCandidate(
                name = MemberName("$number-$index"),
                primary = false,
                point = POINT,
                pointAge = Duration.ZERO,
                expectedWait = services[index].value * ahead.coerceAtLeast(0) / OWN_SLOTS,
                distance = distances[index],
                remote = false,
                load = loads[index].estimate(now),
            )
        }

        private fun send(index: Int, read: Read) {
            inFlight[index]++
            val sentAt = now
            after(ONE_WAY) {
                val isTaken = members[index].offer(read) { after(ONE_WAY) { answered(index, sentAt) } }
                if (!isTaken) after(ONE_WAY) { refused(index, sentAt, read) }
            }
        }

        private fun answered(index: Int, sentAt: Duration) {
            services[index].add(now - sentAt)
            loads[index].recordAnswer(sentAt, now)
            release(index)
        }

        private fun refused(index: Int, sentAt: Duration, read: Read) {
            loads[index].recordRefusal(sentAt, now)
            release(index)
            read.tried += index
            after(RETRY_DELAY) { place(read) }
        }

        private fun release(index: Int) {
            inFlight[index]--
            queues[index].removeFirstOrNull()?.let { send(index, it) }
        }
    }

    companion object {
        const val VMS = 87
        const val SLOTS = 4
        private const val QUEUE = 32

        /** Two thirds of the slots, as `InteractiveLimits.slotShare` gives a VM. */
        private const val OWN_SLOTS = 3
        private val POINT = HistoryPoint(Term(1), LogPosition(1))
        private val REPORTER = VmName("reporter")
        private val ONE_WAY = 900.microseconds
        private val RETRY_DELAY = 20.milliseconds
        private val REPORT_INTERVAL = 500.milliseconds
        private val SAMPLE_INTERVAL = 5.milliseconds
        private val WARM_UP = 5.seconds

        /** The members together finish 729 reads a second of 19.2 ms on average; the VMs send two thirds of that. */
        private val INTERVAL = 1.seconds / (486.0 / VMS)

        fun ReadPlacement.asRule() = ChoiceRule { options -> options.indexOf(choose(options, POINT)) }
    }
}
