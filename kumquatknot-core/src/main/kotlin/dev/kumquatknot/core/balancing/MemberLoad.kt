package dev.kumquatknot.core.balancing

import dev.kumquatknot.core.admission.DurationAverage
import dev.kumquatknot.core.identity.VmName
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Estimated load of a member.
 *
 * @property slots statements that the member runs at a time.
 * @property serviceTime time that the member takes for a statement.
 * @property occupied statements that run on the member or wait for it.
 * @property age time since the observation on which the estimate rests; infinite without any.
 * @property isMeasured whether [serviceTime] was measured.
 */
public data class LoadEstimate(
    val slots: Int,
    val serviceTime: Duration,
    val occupied: Double,
    val age: Duration,
    val isMeasured: Boolean = true,
) {
    /** Statements per second that the member can finish. */
    public val throughput: Double get() = slots * (1.seconds / serviceTime)

    /** Time until the member has finished what occupies it, if all its slots work on that. */
    public val drainTime: Duration get() = serviceTime * (occupied / slots)

    /** Time that another statement would wait for a slot. */
    public val expectedWait: Duration get() = serviceTime * ((occupied - slots + 1).coerceAtLeast(0.0) / slots)
}

/**
 * Estimates the load of one member without asking it: from the response times of statements that this VM sends anyway,
 * and from what other VMs report of theirs.
 *
 * A response that took longer than the shortest one seen has waited for others. An observation loses its weight with
 * its age, in favour of the average, since the load of a member changes within some hundred milliseconds. Statements
 * that this VM has sent since the observation are added.
 *
 * Not thread-safe.
 *
 * @property slots statements that the member runs at a time.
 */
public class MemberLoad(public val slots: Int) {
    private val serviceTime = DurationAverage(SERVICE_WEIGHT, INITIAL_SERVICE_TIME)
    private val shortest = ShortestDuration()
    private val sent = ArrayDeque<Duration>()
    private val reports = HashMap<VmName, Report>()
    private var latest = Observation(0.0, -Duration.INFINITE)
    private var average: Double? = null

    /** Records that this VM sends a statement to the member at [now]. */
    public fun recordSent(now: Duration) {
        forgetOld(now)
        sent.addLast(now)
    }

    /** Records the answer at [now] to a statement that was sent at [sentAt]. */
    public fun recordAnswer(sentAt: Duration, now: Duration) {
        removeSent(sentAt)
        val response = now - sentAt
        val wait = response - shortest.add(response, now)
        serviceTime.add(response)
        observe((wait / serviceTime.value + FREE_SHARE) * slots, now)
    }

    /** Records that the member refused a statement at [now], which was sent at [sentAt], as its queue is full. */
    public fun recordRefusal(sentAt: Duration, now: Duration) {
        removeSent(sentAt)
        observe((slots + MEMBER_QUEUE).toDouble(), now)
    }

    /**
     * Records that [vm] had [busy] statements on the member at [observedAt] and [queued] ones that wait for it, and
     * takes [service] for the member's time for a statement if it is positive.
     */
    public fun recordReport(vm: VmName, busy: Int, queued: Int, service: Duration, observedAt: Duration) {
        if (service.isPositive()) serviceTime.add(service)
        reports[vm] = Report(busy + queued, observedAt)
        reports.values.removeIf { observedAt - it.observedAt > REPORT_LIFETIME }
        observe(reports.values.sumOf { it.occupied }.toDouble(), observedAt)
    }

    /** Returns the estimate at [now]. */
    public fun estimate(now: Duration): LoadEstimate {
        forgetOld(now)
        val age = now - latest.at
        val usual = average ?: (slots * FREE_SHARE)
        val weight = if (age.isFinite()) exp(-(age / DECAY)) else 0.0
        val own = sent.count { it > latest.at }
        val occupied = usual + (latest.occupied - usual) * weight + own
        return LoadEstimate(slots, serviceTime.value, occupied, age, serviceTime.hasSamples)
    }

    private fun observe(occupied: Double, at: Duration) {
        if (at < latest.at) return
        latest = Observation(occupied, at)
        average = average?.let { it + (occupied - it) * AVERAGE_WEIGHT } ?: occupied
    }

    /** Statements have no identity here; of those sent at about [sentAt] it does not matter which one was answered. */
    private fun removeSent(sentAt: Duration) {
        val index = sent.indexOfLast { it <= sentAt }
        if (index >= 0) sent.removeAt(index)
    }

    /** A statement that was never sent, or whose connection was lost, is not answered. */
    private fun forgetOld(now: Duration) {
        while (sent.isNotEmpty() && now - sent.first() > SENT_LIFETIME) sent.removeFirst()
    }

    private class Observation(val occupied: Double, val at: Duration)

    private class Report(val occupied: Int, val observedAt: Duration)

    private companion object {
        /** Statements of a group differ several times in their work, so the average rests on about twenty. */
        const val SERVICE_WEIGHT = 0.05
        const val AVERAGE_WEIGHT = 0.1
        val INITIAL_SERVICE_TIME = 20.milliseconds

        /** Share of the slots that is taken to be busy where a statement did not wait. */
        const val FREE_SHARE = 0.5

        /** Statements that a member queues before it refuses more. */
        const val MEMBER_QUEUE = 32

        /** Time constant with which an observation gives way to the average. */
        val DECAY = 500.milliseconds
        val SENT_LIFETIME = 1.seconds
        val REPORT_LIFETIME = 2.seconds
    }
}

/** The shortest duration of the last one to two periods, so that a member that became slower is measured afresh. */
private class ShortestDuration {
    private var current = Duration.INFINITE
    private var previous = Duration.INFINITE
    private var since = Duration.ZERO

    /** Adds [duration] and returns the shortest one. */
    fun add(duration: Duration, now: Duration): Duration {
        if (now - since > PERIOD) {
            previous = current
            current = Duration.INFINITE
            since = now
        }
        current = minOf(current, duration)
        return minOf(current, previous)
    }

    private companion object {
        val PERIOD = 30.seconds
    }
}
