package dev.kumquatknot.proxy.group

import arrow.core.left
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.databasegroup.Confirmation
import dev.kumquatknot.core.databasegroup.ConfirmationTracker
import dev.kumquatknot.core.databasegroup.CoordinatorRank
import dev.kumquatknot.core.databasegroup.FreshnessTracker
import dev.kumquatknot.core.databasegroup.GroupCoordinator
import dev.kumquatknot.core.databasegroup.GroupEffect
import dev.kumquatknot.core.databasegroup.GroupEvent
import dev.kumquatknot.core.databasegroup.GroupTiming
import dev.kumquatknot.core.databasegroup.GroupView
import dev.kumquatknot.core.databasegroup.LossReason
import dev.kumquatknot.core.databasegroup.MajorityPrimary
import dev.kumquatknot.core.databasegroup.MemberAnswer
import dev.kumquatknot.core.databasegroup.MemberContactReport
import dev.kumquatknot.core.databasegroup.PrimaryVerdict
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.time.Clock
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executor
import java.util.concurrent.Future
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** Asks other VMs when a member of a database group last answered them. Blocks for a bounded time. */
public typealias RequestVantageReports = (database: DatabaseName, member: MemberName) -> List<MemberContactReport>

/** Publishes a primary that this VM has promoted, on a best-effort basis; correctness does not depend on it. */
public typealias PublishPromotion = (view: GroupView, reason: LossReason) -> Unit

/** Called after a change of the term or the primary of a group. Must not block. */
public typealias ViewListener = (view: GroupView) -> Unit

/**
 * Settings of a [GroupRunner].
 *
 * @property incarnation number that is unique among all processes that ever ran under the name [vm], such as 64 random
 * bits. Members accept the same term again from the same proposer; a restarted VM must therefore use a new proposer
 * name.
 * @property seed seed of the random jitter between attempts.
 */
public data class GroupRunnerSettings(
    val vm: VmName,
    val incarnation: Long,
    val seed: Long = incarnation,
    val timing: GroupTiming = GroupTiming(),
)

/**
 * Interfaces of a [GroupRunner] to the rest of the VM.
 *
 * @property members clients of all members of the group.
 * @property rank rank of this VM among those that may order a promotion.
 * @property leaving members that are about to shut down.
 */
public data class GroupRunnerPorts(
    val members: List<MemberPort>,
    val requestVantageReports: RequestVantageReports = { _, _ -> emptyList() },
    val rank: CoordinatorRank = { 0 },
    val publish: PublishPromotion = { _, _ -> },
    val leaving: () -> Set<MemberName> = ::emptySet,
)

/**
 * Threads shared by all runners of a VM.
 *
 * @property timer runs short scheduled tasks, which never block.
 * @property workers run the calls to members, which block up to their timeouts: at most one report, one follow and one
 * promotion call per member at a time. A late tick counts as a pause of this VM. Ticks run on [timer] only, so that
 * blocked workers never delay them.
 */
public data class GroupRunnerThreads(val timer: ScheduledExecutorService, val workers: Executor)

/**
 * Observes one database group on behalf of a VM and replaces a lost primary. It performs the effects that a
 * [GroupCoordinator] decides on, and provides the observed state to the request path.
 *
 * Thread-safe. Lock order: the runner's lock, then the locks of the two trackers. No lock is held during calls to
 * members, listeners and ports.
 */
public class GroupRunner(
    private val database: DatabaseConfiguration,
    private val ports: GroupRunnerPorts,
    private val settings: GroupRunnerSettings,
    private val threads: GroupRunnerThreads,
    private val clock: Clock,
) {
    private val lock = ReentrantLock()
    private val members = ports.members.associateBy { it.member }
    private val listeners = CopyOnWriteArrayList<ViewListener>()
    private val confirmations = ConfirmationTracker(database.majority, clock, onWaiting = ::triggerTick)
    private val freshness = FreshnessTracker(database.majority, clock, onWaiting = ::triggerTick)
    private val coordinator = GroupCoordinator(
        database = database,
        proposer = settings.newProposer(),
        timing = settings.timing,
        rank = ports.rank,
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed),
        confirmations = confirmations,
        freshness = freshness,
        leaving = ports.leaving,
    )
    private var running = false
    private var timer: Future<*>? = null
    private var timerAt: Duration = Duration.INFINITE

    /** Starts the observation of the group. */
    public fun start() {
        lock.withLock { running = true }
        triggerTick()
    }

    /** Stops the observation. Calls in flight run to their end; their results are ignored. */
    public fun stop(): Unit = lock.withLock {
        running = false
        timer?.cancel(false)
        timer = null
    }

    /** Returns the current view of the group: its term, its primary and the positions of its members. */
    public fun view(): GroupView = lock.withLock { coordinator.view }

    /** Returns the state of the primary as judged by this VM. */
    public fun primaryVerdict(): PrimaryVerdict = lock.withLock { coordinator.primaryVerdict }

    /** Merges the [view] of another VM; only newer information is adopted. */
    public fun merge(view: GroupView): Unit = handleEvent(GroupEvent.PeerViewReceived(view))

    /** Registers [listener] to be called after each change of term or primary. */
    public fun addViewListener(listener: ViewListener) {
        listeners += listener
    }

    /** Returns when [member] last answered this VM, for a VM that suspects the member. */
    public fun vantage(member: MemberName): MemberContactReport =
        MemberContactReport(settings.vm, lock.withLock { coordinator.lastResponseAge(member, clock.elapsed()) })

    /**
     * Blocks until a majority of the group has confirmed the write that [primary] committed at [point], at most until
     * [deadline] of the monotonic clock. After any result but [Confirmation.CONFIRMED] the outcome is unknown.
     */
    public fun awaitConfirmation(point: HistoryPoint, primary: MemberName, deadline: Duration): Confirmation =
        confirmations.await(point, primary, deadline)

    /** Returns a proven upper bound of the age that data at [point] has now, or null if there is none. */
    public fun provenAge(point: HistoryPoint): Duration? = freshness.provenAge(point, clock.elapsed())

    /**
     * Blocks until a majority has been observed to follow the primary at the time [since] or later, at most until
     * [deadline] of the monotonic clock. A read that starts at [since] or later at the returned primary in the returned
     * term sees every write acknowledged before [since]. Returns null if no majority was observed in time.
     */
    public fun awaitStanding(
        since: Duration,
        deadline: Duration,
    ): MajorityPrimary? = freshness.awaitMajorityPrimary(since, deadline)

    /** Updates confirmations and freshness from the reply of [member] to a batch that was sent at [sentAt]. */
    public fun observeReply(member: MemberName, sentAt: Duration, reply: BatchReply) {
        confirmations.observe(member, reply.point, reply.acceptedTerm)
        freshness.observeTerm(member, reply.acceptedTerm, sentAt)
    }

    private fun triggerTick() = handleEvent(GroupEvent.Tick)

    private fun handleEvent(event: GroupEvent) {
        val effects = lock.withLock {
            if (!running) return
            val now = clock.elapsed()
            coordinator.on(event, now).also { schedule(now) }
        }
        effects.forEach(::performEffect)
    }

    private fun schedule(now: Duration) {
        val next = coordinator.nextWake(now)
        val pending = timer?.isDone == false && timerAt in now..next
        if (pending) return
        timer?.cancel(false)
        timerAt = next
        timer = threads.timer.schedule(::triggerTick, (next - now).inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    private fun performEffect(effect: GroupEffect): Unit = when (effect) {
        is GroupEffect.ViewChanged -> listeners.forEach { it(effect.view) }
        is GroupEffect.PublishPromotion -> runOnWorker { ports.publish(effect.view, effect.reason) }
        is GroupEffect.RequestContactReports -> runOnWorker { requestVantageReports(effect) }
        is GroupEffect.Probe -> callMember(effect.member, Step.PROBE, { it.report(settings.timing.probeTimeout) }) {
            GroupEvent.ReportAnswered(effect.member, it.sentAt, it.endedAt, it.answer)
        }
        is GroupEffect.Accept -> callMember(
            effect.member,
            Step.PROMOTE,
            { it.acceptTerm(effect.proposal, settings.timing.callTimeout) },
        ) { GroupEvent.AcceptAnswered(effect.proposal, effect.member, it.sentAt, it.answer) }
        is GroupEffect.Promote -> callMember(
            effect.member,
            Step.PROMOTE,
            { it.promote(effect.proposal, settings.timing.callTimeout) },
        ) { GroupEvent.PromoteAnswered(effect.proposal, effect.member, it.sentAt, it.answer) }
        is GroupEffect.Follow -> callMember(
            effect.member,
            Step.PROMOTE,
            { it.follow(effect.term, effect.primary, settings.timing.callTimeout) },
        ) { GroupEvent.FollowAnswered(effect.member, it.sentAt, it.answer) }
    }

    private fun requestVantageReports(effect: GroupEffect.RequestContactReports) {
        var reports: List<MemberContactReport> = emptyList()
        try {
            reports = ports.requestVantageReports(database.name, effect.primary)
        } finally {
            handleEvent(GroupEvent.ContactReportsReceived(effect.primary, reports))
        }
    }

    private fun callMember(
        member: MemberName,
        failureStep: Step,
        request: (MemberPort) -> MemberAnswer,
        toEvent: (CallResult) -> GroupEvent,
    ) = runOnWorker {
        val sentAt = clock.elapsed()
        var answer: MemberAnswer = MemberFailure.NoAnswer(member, failureStep, "the call ended without a result").left()
        try {
            answer = request(members.getValue(member))
        } finally {
            handleEvent(toEvent(CallResult(sentAt, clock.elapsed(), answer)))
        }
    }

    private fun runOnWorker(task: () -> Unit) {
        try {
            threads.workers.execute(task)
        } catch (rejected: RejectedExecutionException) {
            if (lock.withLock { running }) throw rejected
        }
    }

    private class CallResult(val sentAt: Duration, val endedAt: Duration, val answer: MemberAnswer)

    private companion object {
        const val HEXADECIMAL_RADIX = 16
        val runnersStarted = AtomicLong()

        /** Returns a proposer name that is unique even among runners of the same group in this process. */
        fun GroupRunnerSettings.newProposer(): VmName {
            val process = incarnation.toULong().toString(HEXADECIMAL_RADIX)
            return VmName("$vm/$process/${runnersStarted.incrementAndGet()}")
        }
    }
}
