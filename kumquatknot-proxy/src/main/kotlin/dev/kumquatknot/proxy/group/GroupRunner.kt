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
import dev.kumquatknot.core.databasegroup.MemberAnswer
import dev.kumquatknot.core.databasegroup.PrimaryVerdict
import dev.kumquatknot.core.databasegroup.MajorityPrimary
import dev.kumquatknot.core.databasegroup.MemberContactReport
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

/** Asks other VMs when they last heard a member of a database group. Blocks for a bounded time. */
public typealias AskVantage = (database: DatabaseName, member: MemberName) -> List<MemberContactReport>

/** Publishes a primary that this VM has promoted, as far as that is possible. Correctness does not rest on it. */
public typealias PublishPromotion = (view: GroupView, reason: LossReason) -> Unit

/** Hears that the term or the primary of a group has changed. Must not block. */
public typealias ViewListener = (view: GroupView) -> Unit

/**
 * Settings of a [GroupRunner].
 *
 * @property incarnation number unique to this process among all that ever ran under the name [vm], such as 64 random
 * bits. A member accepts a term once more from the same proposer, so that a restarted VM must not take the name of
 * the proposer that it was before.
 * @property seed seed of the jitter between attempts.
 */
public data class GroupRunnerSettings(
    val vm: VmName,
    val incarnation: Long,
    val seed: Long = incarnation,
    val timing: GroupTiming = GroupTiming(),
)

/** What a [GroupRunner] asks of the rest of the VM. */
public data class GroupRunnerPorts(
    val members: List<MemberPort>,
    val askVantage: AskVantage = { _, _ -> emptyList() },
    val rank: CoordinatorRank = { 0 },
    val publish: PublishPromotion = { _, _ -> },
    val leaving: () -> Set<MemberName> = ::emptySet,
)

/**
 * Threads that all runners of a VM share.
 *
 * @property timer runs short tasks at their time and never blocks.
 * @property workers run the calls to members, which block up to their timeouts: at most one report, one follow and one
 * promotion call a member at a time. A tick is late, and counts as a pause of this VM, only where [timer] is late.
 */
public data class GroupRunnerThreads(val timer: ScheduledExecutorService, val workers: Executor)

/**
 * Observes one database group on behalf of a VM and replaces its primary when it is lost. It carries out what a
 * [GroupCoordinator] decides and offers what was learned to the request path.
 *
 * Thread-safe. Lock order: the runner's lock, then those of the two ledgers. Calls, listeners and ports run without
 * any of them.
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
    private val confirmations = ConfirmationTracker(database.majority, clock, onWaiting = ::wake)
    private val freshness = FreshnessTracker(database.majority, clock, onWaiting = ::wake)
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

    /** Begins to observe the group. */
    public fun start() {
        lock.withLock { running = true }
        wake()
    }

    /** Ends all observation; calls under way end by themselves and change nothing here. */
    public fun stop(): Unit = lock.withLock {
        running = false
        timer?.cancel(false)
        timer = null
    }

    /** Returns what is known of the group. */
    public fun view(): GroupView = lock.withLock { coordinator.view }

    /** Returns the state of the primary as this VM sees it. */
    public fun verdict(): PrimaryVerdict = lock.withLock { coordinator.primaryVerdict }

    /** Takes over what another VM knows of the group, where it is newer. */
    public fun merge(view: GroupView): Unit = step(GroupEvent.PeerViewReceived(view))

    /** Has [listener] called after each change of term or primary. */
    public fun onView(listener: ViewListener) {
        listeners += listener
    }

    /** Answers another VM's question when this one last heard [member]. */
    public fun vantage(member: MemberName): MemberContactReport =
        MemberContactReport(settings.vm, lock.withLock { coordinator.heardAgo(member, clock.elapsed()) })

    /**
     * Waits until the write that [primary] committed at [point] is confirmed by a majority of the group, at most until
     * [deadline] of the clock. Every result but [Confirmation.CONFIRMED] leaves the outcome unknown.
     */
    public fun awaitConfirmation(point: HistoryPoint, primary: MemberName, deadline: Duration): Confirmation =
        confirmations.await(point, primary, deadline)

    /** Returns an age that data at [point] surely does not exceed now, or null where none is proved. */
    public fun provenAge(point: HistoryPoint): Duration? = freshness.provenAge(point, clock.elapsed())

    /**
     * Waits until a majority is seen to follow the primary at the time [since] or later, at most until [deadline] of
     * the clock. A read that the returned primary runs in the returned term, begun at [since] or later, sees every
     * write acknowledged before [since]. Null where that was not seen in time.
     */
    public fun awaitStanding(since: Duration, deadline: Duration): MajorityPrimary? = freshness.awaitStanding(since, deadline)

    /** Learns from the reply of [member] to a batch that was sent at [sentAt]. */
    public fun observeReply(member: MemberName, sentAt: Duration, reply: BatchReply) {
        confirmations.observe(member, reply.point, reply.acceptedTerm)
        freshness.observeTerm(member, reply.acceptedTerm, sentAt)
    }

    private fun wake() = step(GroupEvent.Tick)

    private fun step(event: GroupEvent) {
        val effects = lock.withLock {
            if (!running) return
            val now = clock.elapsed()
            coordinator.on(event, now).also { schedule(now) }
        }
        effects.forEach(::carryOut)
    }

    private fun schedule(now: Duration) {
        val next = coordinator.nextWake(now)
        val pending = timer?.isDone == false && timerAt in now..next
        if (pending) return
        timer?.cancel(false)
        timerAt = next
        timer = threads.timer.schedule(::wake, (next - now).inWholeNanoseconds, TimeUnit.NANOSECONDS)
    }

    private fun carryOut(effect: GroupEffect): Unit = when (effect) {
        is GroupEffect.ViewChanged -> listeners.forEach { it(effect.view) }
        is GroupEffect.PublishPromotion -> onWorker { ports.publish(effect.view, effect.reason) }
        is GroupEffect.AskVantage -> onWorker { askVantage(effect) }
        is GroupEffect.Probe -> call(effect.member, Step.PROBE, { it.report(settings.timing.probeTimeout) }) {
            GroupEvent.ReportAnswered(effect.member, it.sentAt, it.endedAt, it.answer)
        }
        is GroupEffect.Accept -> call(
            effect.member,
            Step.PROMOTE,
            { it.acceptTerm(effect.proposal, settings.timing.callTimeout) },
        ) { GroupEvent.AcceptAnswered(effect.proposal, effect.member, it.sentAt, it.answer) }
        is GroupEffect.Promote -> call(
            effect.member,
            Step.PROMOTE,
            { it.promote(effect.proposal, settings.timing.callTimeout) },
        ) { GroupEvent.PromoteAnswered(effect.proposal, effect.member, it.sentAt, it.answer) }
        is GroupEffect.Follow -> call(
            effect.member,
            Step.PROMOTE,
            { it.follow(effect.term, effect.primary, settings.timing.callTimeout) },
        ) { GroupEvent.FollowAnswered(effect.member, it.sentAt, it.answer) }
    }

    private fun askVantage(effect: GroupEffect.AskVantage) {
        var reports: List<MemberContactReport> = emptyList()
        try {
            reports = ports.askVantage(database.name, effect.primary)
        } finally {
            step(GroupEvent.ContactReportsReceived(effect.primary, reports))
        }
    }

    private fun call(
        member: MemberName,
        atStep: Step,
        request: (MemberPort) -> MemberAnswer,
        asEvent: (CallResult) -> GroupEvent,
    ) = onWorker {
        val sentAt = clock.elapsed()
        var answer: MemberAnswer = MemberFailure.NoAnswer(member, atStep, "the call ended without a result").left()
        try {
            answer = request(members.getValue(member))
        } finally {
            step(asEvent(CallResult(sentAt, clock.elapsed(), answer)))
        }
    }

    private fun onWorker(task: () -> Unit) {
        try {
            threads.workers.execute(task)
        } catch (rejected: RejectedExecutionException) {
            if (lock.withLock { running }) throw rejected
        }
    }

    private class CallResult(val sentAt: Duration, val endedAt: Duration, val answer: MemberAnswer)

    private companion object {
        const val HEXADECIMAL = 16
        val runnersStarted = AtomicLong()

        /** A name that no other runner has, not even an earlier one for the same group in this process. */
        fun GroupRunnerSettings.newProposer(): VmName {
            val process = incarnation.toULong().toString(HEXADECIMAL)
            return VmName("$vm/$process/${runnersStarted.incrementAndGet()}")
        }
    }
}
