package dev.kumquatknot.standin.measure

import dev.kumquatknot.core.admission.Admission
import dev.kumquatknot.core.admission.RetryBudget
import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.routing.RequestNeeds
import dev.kumquatknot.core.routing.Route
import dev.kumquatknot.core.routing.RouteStep
import dev.kumquatknot.core.routing.Router
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import kotlin.math.cos
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Rate of [kind] at [database] and a moment, relative to its ordinary rate. */
internal typealias LoadShape = (kind: LoadKind, database: Int, now: Duration) -> Double

/** The callers, entry VMs and database groups of one deployment under one [variant], on virtual time. */
internal class ModelFleet(
    private val deployment: Deployment,
    private val variant: Variant,
    lag: Duration,
    seed: Long,
    private val shape: LoadShape,
    private val recorder: Recorder,
) {
    val loop = EventLoop()
    val contentions =
        List(deployment.databases) { List(deployment.members) { Contention(parallel = deployment.slots) } }
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val router = Router(random::nextDouble)
    private val budgets = List(deployment.members) { RetryBudget() }
    private var lastId = 0L

    val groups = contentions.mapIndexed { number, members ->
        val made = members.map { variant.makeMember(loop, deployment, it) }
        ModelGroup(loop, deployment, number, made, lag, random)
    }

    /** Runs the load until [end], and on until all requests have ended. */
    fun run(end: Duration) {
        groups.forEach { it.observe() }
        for (group in groups) deployment.kinds.forEach { arrive(it, group, end) }
        loop.runUntil(end + LONGEST_REQUEST)
    }

    private fun arrive(kind: LoadKind, group: ModelGroup, end: Duration) {
        val rate = kind.rate * shape(kind, group.number, loop.now)
        val pause = (-ln(1.0 - random.nextDouble()) / rate).seconds
        if (loop.now + pause >= end) return
        loop.after(minOf(pause, LONGEST_PAUSE)) {
            if (pause <= LONGEST_PAUSE) Request(kind, group, random.nextInt(deployment.members)).attempt()
            arrive(kind, group, end)
        }
    }

    /** A service time with a logarithmic normal distribution of the given [mean]. */
    private fun serviceTime(mean: Duration): Duration {
        val radius = sqrt(2 * -ln(1.0 - random.nextDouble()))
        val normal = radius * cos(2 * Math.PI * random.nextDouble())
        return mean * exp(SIGMA * normal - SIGMA * SIGMA / 2)
    }

    /** One request of a caller, with its retries. */
    private inner class Request(val kind: LoadKind, val group: ModelGroup, val entry: Int) {
        private val arrivedAt = loop.now
        val proxy = random.nextInt(deployment.proxies)
        val sessionPoint = if (kind.access == Access.READ) sessionPoint() else HistoryPoint.START
        private var attempts = 0
        private var ended = false

        fun attempt() {
            recorder.recordAttempt()
            val attempt = Attempt(this, ++attempts, loop.now + kind.deadline)
            loop.at(attempt.deadline) { attempt.timeOut() }
            loop.after(deployment.callerLatency) { attempt.route() }
        }

        fun answered() {
            if (ended) return
            ended = true
            budgets[entry].recordSuccess()
            recorder.recordAnswer(loop.now)
            recorder.recordEnd(kind, group.number, arrivedAt, loop.now - arrivedAt, Ending.ANSWERED)
        }

        fun failed(ending: Ending, retryAfter: Duration) {
            if (ended) return
            if (attempts < GREATEST_ATTEMPTS && (!variant.budgeted || budgets[entry].trySpend())) {
                loop.after(if (variant.budgeted) retryAfter else PLAIN_RETRY_PAUSE) { if (!ended) attempt() }
                return
            }
            ended = true
            recorder.recordEnd(kind, group.number, arrivedAt, loop.now - arrivedAt, ending)
        }

        /** The point of a write that the session saw acknowledged a short time ago. */
        private fun sessionPoint(): HistoryPoint {
            val mean = if (kind.maximumAge == null) OWN_WRITE_AGE else AGED_READER_WRITE_AGE
            val thinkTime = mean * -ln(1.0 - random.nextDouble())
            return group.acknowledgedAt(maxOf(Duration.ZERO, loop.now - thinkTime))
        }
    }

    /** One attempt of a [request]; what comes after its end is of no account. */
    private inner class Attempt(val request: Request, val number: Int, val deadline: Duration) {
        private val kind = request.kind
        private val group = request.group
        private var over = false

        fun timeOut() = end { request.failed(Ending.NO_ANSWER, Duration.ZERO) }

        fun route() {
            if (!variant.routed) return send(primaryStep(), emptyList())
            when (val route = router.route(needs(), group.facts(request.entry), loop.now)) {
                is Route.Serve -> take(route.steps)
                is Route.Refuse -> refuse(route.retryAfter)
            }
        }

        private fun primaryStep() =
            RouteStep(group.memberName(group.primary), MemberRole.PRIMARY, request.sessionPoint)

        private fun needs(): RequestNeeds = when (kind.access) {
            Access.WRITE -> RequestNeeds.Write(HistoryPoint.START, kind.target, deadline)
            Access.READ -> RequestNeeds.Read(request.sessionPoint, kind.target, deadline, kind.maximumAge)
        }

        private fun take(steps: List<RouteStep>) {
            val step = steps.firstOrNull() ?: return refuse(DEFAULT_RETRY_AFTER)
            val waitUntil = step.waitUntil ?: return send(step, steps.drop(1))
            val reached =
                maxOf(loop.now, group.reaches(group.memberNumber(step.member), step.required) + CATCH_UP_DELAY)
            loop.at(minOf(reached, waitUntil)) {
                if (reached <= waitUntil) send(step, steps.drop(1)) else take(steps.drop(1))
            }
        }

        private fun send(step: RouteStep, others: List<RouteStep>) {
            if (over) return
            val member = group.memberNumber(step.member)
            val oneWay = deployment.latency(request.entry, member)
            val statement = Statement(
                item(),
                request.proxy,
                serviceTime(kind.serviceTime),
                onFinished = { finished(step, member, oneWay, others) },
                onRefused = { refusal -> loop.after(oneWay) { refusedAt(refusal, others) } },
            )
            loop.after(oneWay) { group.members[member].submit(statement) }
        }

        private fun item() = WorkItem(
            RequestId("r${++lastId}"),
            kind.team,
            kind.name,
            kind.rank,
            kind.floorPercent,
            kind.target,
            deadline - deployment.callerLatency,
        )

        private fun finished(step: RouteStep, member: Int, oneWay: Duration, others: List<RouteStep>) {
            if (kind.access == Access.WRITE) {
                val confirmedAt = if (variant.routed) group.confirmedAt(group.commit()) + CATCH_UP_DELAY else loop.now
                loop.at(confirmedAt) { loop.after(oneWay + deployment.callerLatency) { end { request.answered() } } }
                return
            }
            val reached = group.pointAt(member, loop.now).covers(step.required)
            if (!reached) return take(others)
            val fresh = group.pointAt(member, loop.now).covers(request.sessionPoint)
            recorder.recordRead(kind, step.role == MemberRole.REPLICA, fresh)
            loop.after(oneWay + deployment.callerLatency) { end { request.answered() } }
        }

        private fun refusedAt(refusal: Admission.Refused, others: List<RouteStep>) {
            val next = others.firstOrNull()?.takeIf { it.role == MemberRole.REPLICA && it.waitUntil == null }
            if (next != null && !over) send(next, emptyList()) else refuse(refusal.retryAfter)
        }

        private fun refuse(retryAfter: Duration) {
            loop.after(deployment.callerLatency) { end { request.failed(Ending.NOT_RUN, retryAfter) } }
        }

        private fun end(action: () -> Unit) {
            if (over) return
            over = true
            action()
        }
    }

    private companion object {
        const val GREATEST_ATTEMPTS = 3
        const val SIGMA = 0.5
        val OWN_WRITE_AGE = 100.milliseconds
        val AGED_READER_WRITE_AGE = 5.seconds
        val PLAIN_RETRY_PAUSE = 100.milliseconds
        val DEFAULT_RETRY_AFTER = 500.milliseconds
        val CATCH_UP_DELAY = 5.milliseconds
        val LONGEST_PAUSE = 100.milliseconds
        val LONGEST_REQUEST = 30.seconds
    }
}
