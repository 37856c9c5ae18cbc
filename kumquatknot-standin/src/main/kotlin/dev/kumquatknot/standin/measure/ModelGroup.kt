package dev.kumquatknot.standin.measure

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.routing.GroupSnapshot
import dev.kumquatknot.core.routing.LagEstimator
import dev.kumquatknot.core.routing.MemberAvailability
import dev.kumquatknot.core.routing.MemberSnapshot
import dev.kumquatknot.core.routing.MemberLoad
import dev.kumquatknot.core.routing.ProvenPoint
import org.apache.commons.rng.UniformRandomProvider
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A database group of the model: the log of its primary, replicas that lag, and what the VM of each data centre knows.
 *
 * @param lag mean replication lag; that of each replica varies by a fifth from second to second.
 */
internal class ModelGroup(
    private val loop: EventLoop,
    private val deployment: Deployment,
    val number: Int,
    val members: List<ModelMember>,
    private val lag: Duration,
    private val random: UniformRandomProvider,
) {
    private val commits = ArrayList<Duration>()
    private val lags = members.map { HashMap<Long, Duration>() }
    private val seen = deployment.dataCentres.map { Array(members.size) { Seen(HistoryPoint.START, null, null) } }
    private val estimators = deployment.dataCentres.map { LagEstimator() }
    private val proven = deployment.dataCentres.map { ArrayDeque<ProvenPoint>() }

    val primary: Int = number % members.size

    /** Lets the VM of each data centre ask every member for its state over and over. */
    fun observe() {
        deployment.dataCentres.indices.forEach { vm -> members.indices.forEach { probe(vm, it) } }
    }

    /** Commits a write at the primary now and returns its point. */
    fun commit(): HistoryPoint {
        commits += loop.now
        return point(commits.size)
    }

    /** Returns the point that [member] holds at [time]. */
    fun pointAt(member: Int, time: Duration): HistoryPoint =
        point(countUntil(if (member == primary) time else time - lagOf(member, time)))

    /** Returns the moment at which [member] holds [required]. */
    fun reaches(member: Int, required: HistoryPoint): Duration {
        val position = required.position.value.toInt()
        if (position == 0 || member == primary) return Duration.ZERO
        val committedAt = commits[position - 1]
        return (1..SOLVING_STEPS).fold(committedAt + lag) { moment, _ -> committedAt + lagOf(member, moment) }
    }

    /** Returns the moment at which the first replica holds [required]. */
    fun confirmedAt(required: HistoryPoint): Duration =
        members.indices.filter { it != primary }.minOf { reaches(it, required) }

    /** Returns the last point that was acknowledged at [time]. */
    fun acknowledgedAt(time: Duration): HistoryPoint =
        members.indices.filter { it != primary }.maxOf { pointAt(it, time) }

    /** Returns what the VM of data centre [vm] knows. */
    fun facts(vm: Int): GroupSnapshot = GroupSnapshot(
        term = TERM,
        primary = memberName(primary),
        members = members.indices.map { memberFacts(vm, it) },
        provenPoints = proven[vm].toList(),
    )

    fun memberNumber(name: MemberName): Int = name.value.substringAfterLast('-').toInt()

    private fun memberFacts(vm: Int, member: Int): MemberSnapshot {
        val known = seen[vm][member]
        return MemberSnapshot(
            member = memberName(member),
            availability = MemberAvailability.AVAILABLE,
            lastEntry = known.point,
            lag = known.lag,
            roundTrip = deployment.latency(vm, member) * 2,
            load = known.load ?: members[member].load,
        )
    }

    private fun probe(vm: Int, member: Int) {
        val askedAt = loop.now
        val oneWay = deployment.latency(vm, member)
        loop.after(oneWay) {
            val point = pointAt(member, loop.now)
            val load = members[member].load
            loop.after(oneWay) {
                val lag = if (member == primary) null else estimators[vm].lag(point, askedAt + oneWay)
                seen[vm][member] = Seen(point, lag, load)
                if (member == primary) prove(vm, point, askedAt)
            }
        }
        loop.after(PROBE_INTERVAL) { probe(vm, member) }
    }

    private fun prove(vm: Int, point: HistoryPoint, askedAt: Duration) {
        estimators[vm].observePrimary(point, askedAt + deployment.latency(vm, primary))
        proven[vm].addLast(ProvenPoint(point, askedAt))
        if (proven[vm].size > PROVEN_KEPT) proven[vm].removeFirst()
    }

    /** The lag changes linearly from one second to the next. */
    private fun lagOf(member: Int, time: Duration): Duration {
        val second = time.inWholeSeconds
        val from = lagAt(member, second)
        return from + (lagAt(member, second + 1) - from) * ((time - second.seconds) / 1.seconds)
    }

    private fun lagAt(member: Int, second: Long): Duration =
        lags[member].getOrPut(second) { lag * (1.0 + VARIATION * (2 * random.nextDouble() - 1.0)) }

    private fun countUntil(time: Duration): Int {
        val index = commits.binarySearch { if (it <= time) -1 else 1 }
        return -index - 1
    }

    private fun point(position: Int) = HistoryPoint(TERM, LogPosition(position.toLong()))

    fun memberName(member: Int) = MemberName("database-$number-$member")

    private class Seen(val point: HistoryPoint, val lag: Duration?, val load: MemberLoad?)

    private companion object {
        const val VARIATION = 0.2
        const val SOLVING_STEPS = 5
        const val PROVEN_KEPT = 400
        val TERM = Term(1)
        val PROBE_INTERVAL = 200.milliseconds
    }
}
