package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.databasegroup.Confirmation
import dev.kumquatknot.core.databasegroup.ConfirmationTracker
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.metric.PollPurpose
import dev.kumquatknot.proxy.pool.BatchResult
import dev.kumquatknot.proxy.pool.MemberPool
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The replicas that must have received a commit before callers are told of it. */
internal sealed interface RequiredReceipt {
    /** Any one of them, so that the promotion of the replica with the longest log keeps the commit. */
    data object AnyReplica : RequiredReceipt

    /** Each of [members]; none if the primary's own acknowledgement is enough. */
    data class Each(val members: Set<MemberName>) : RequiredReceipt

    /** Nobody knows yet which member leads next. */
    data object Unknown : RequiredReceipt
}

/**
 * Holds back the acknowledgement of commits until the required replicas have received them, so that no promotion loses
 * them. Replicas are polled only while a commit is unconfirmed.
 *
 * @param replicas the members that may take over from the primary, nearest first.
 * @param required what a commit of a primary has to wait for.
 */
internal class CommitConfirmer(
    private val group: DatabaseName,
    private val environment: NodeEnvironment,
    private val replicas: () -> List<MemberPool>,
    private val required: (primary: MemberName, committedAt: Duration) -> RequiredReceipt,
) {
    private val tracker = ConfirmationTracker(MAJORITY, environment.clock)
    private val waiting = ArrayList<WaitingCommit>()
    private val pollsByPool = HashMap<MemberPool, ReplicaPolls>()
    private var oldest: UnconfirmedCommit? = null
    private var isStallLogged = false
    private var isPollScheduled = false

    /** Time of the oldest commit that no replica has received within [STALL_TIMEOUT]; null if there is none. */
    val stalledSince: Duration? get() = oldest?.since?.takeIf { environment.now() - it > STALL_TIMEOUT }

    /**
     * Waits until the required replicas have received the commit of [primary] at [point] and calls [done] once, at
     * [deadline] at the latest. Nothing is waited for if the group has no replica that a promotion could choose.
     */
    fun await(point: HistoryPoint, primary: MemberName, deadline: Duration, done: (Confirmation) -> Unit) {
        val now = environment.now()
        val unconfirmed = UnconfirmedCommit(point, primary, now)
        val decided = decisionOf(unconfirmed)
        if (decided != null) return done(decided)
        val hasNoReplica = requiredFor(unconfirmed) is RequiredReceipt.AnyReplica && replicas().isEmpty()
        if (hasNoReplica) return done(Confirmation.CONFIRMED)
        val commit = WaitingCommit(unconfirmed, done)
        waiting += commit
        if (oldest == null) oldest = commit.commit
        commit.timer = environment.schedule(minOf(deadline - now, STALL_TIMEOUT)) {
            if (waiting.remove(commit)) commit.done(Confirmation.DEADLINE_PASSED)
        }
        poll()
    }

    /** Records that the log of [member] has reached [point]. */
    fun observe(member: MemberName, point: HistoryPoint) {
        tracker.observe(member, point, point.term)
        if (oldest != null) settle()
    }

    /** Decides what the new primary decides: its log has the commits of the former one, or they are lost. */
    fun recordPrimaryChange(primary: MemberName) {
        settle()
        val superseded = waiting.filter { it.commit.primary != primary }
        waiting -= superseded.toSet()
        if (oldest?.primary != primary) oldest = waiting.firstOrNull()?.commit
        superseded.forEach { it.complete(Confirmation.SUPERSEDED) }
        logResumption()
    }

    private fun settle() {
        val decided = waiting.mapNotNull { commit -> decisionOf(commit.commit)?.let { commit to it } }
        waiting -= decided.map { it.first }.toSet()
        if (oldest?.let(::decisionOf) != null) oldest = waiting.firstOrNull()?.commit
        decided.forEach { (commit, confirmation) -> commit.complete(confirmation) }
        logResumption()
    }

    private fun decisionOf(commit: UnconfirmedCommit): Confirmation? {
        val decided = tracker.confirmation(commit.point, commit.primary)
        if (decided == Confirmation.SUPERSEDED) return decided
        return when (val receipt = requiredFor(commit)) {
            is RequiredReceipt.AnyReplica -> decided
            is RequiredReceipt.Unknown -> null
            is RequiredReceipt.Each ->
                Confirmation.CONFIRMED.takeIf { receipt.members.all { tracker.isHeldBy(it, commit.point) } }
        }
    }

    private fun requiredFor(commit: UnconfirmedCommit) = required(commit.primary, commit.since)

    private fun poll() {
        // Discovery may change what is required, without an answer of a replica.
        settle()
        val commit = oldest ?: return
        // A connection that is opened for a poll alone costs a slot of the replica and may keep other VMs waiting.
        val candidates = replicas().sortedBy { it.isScarce && !it.isConnected }
        if (candidates.isEmpty()) oldest = null
        pollsByPool.keys.retainAll(candidates.toSet())
        val now = environment.now()
        val delay = if (candidates.any { it.isScarce }) SCARCE_REPLICA_DELAY else SECOND_REPLICA_DELAY
        val isOneEnough = requiredFor(commit) is RequiredReceipt.AnyReplica
        val polled = if (isOneEnough && now - commit.since < delay) candidates.take(1) else candidates
        polled.forEach { pool ->
            pollsByPool.getOrPut(pool) { ReplicaPolls() }.let { if (!it.isPending) send(pool, it, isOneEnough) }
        }
        logStall(commit)
        scheduleNext()
    }

    private fun scheduleNext() {
        if (isPollScheduled) return
        isPollScheduled = true
        environment.schedule(if (waiting.isEmpty()) STALLED_POLL_INTERVAL else POLL_INTERVAL) {
            isPollScheduled = false
            poll()
        }
    }

    private fun send(pool: MemberPool, polls: ReplicaPolls, isOneEnough: Boolean) {
        polls.isPending = true
        environment.metrics.memberPolled(PollPurpose.CONFIRMATION)
        val now = environment.now()
        val unconfirmedFor = oldest?.let { now - it.since } ?: Duration.ZERO
        // Only a report tells whether a replica is paused, so that it is not required.
        val reports = !isOneEnough || unconfirmedFor > APPLICATION_TIME || now < polls.reportsUntil
        pool.acquireLink { link ->
            if (link == null) {
                polls.isPending = false
                return@acquireLink
            }
            link.run(if (reports) REPORT else APPLIED_POSITION, environment.limits.reportTimeout) { result ->
                polls.isPending = false
                if (result is BatchResult.Answered) pool.releaseLink(link)
                val isConfirmed = oldest?.let { it.since > now } ?: true
                if (reports && isConfirmed) polls.reportsUntil = environment.now() + REPORT_PERIOD
            }
        }
    }

    private fun logStall(commit: UnconfirmedCommit) {
        val since = stalledSince
        if (since == null || isStallLogged) return
        isStallLogged = true
        environment.events.log(
            Event.REPLICATION_STALLED,
            "group" to group.value,
            "primary" to commit.primary.value,
            "point" to commit.point.toString(),
            "sinceMs" to (environment.now() - since).inWholeMilliseconds,
        )
    }

    private fun logResumption() {
        if (!isStallLogged || oldest != null) return
        isStallLogged = false
        environment.events.log(Event.REPLICATION_RESUMED, "group" to group.value)
    }

    private class UnconfirmedCommit(val point: HistoryPoint, val primary: MemberName, val since: Duration)

    private class WaitingCommit(val commit: UnconfirmedCommit, val done: (Confirmation) -> Unit) {
        var timer: Cancel? = null

        fun complete(confirmation: Confirmation) {
            timer?.invoke()
            done(confirmation)
        }
    }

    private class ReplicaPolls {
        var isPending = false
        var reportsUntil = -Duration.INFINITE
    }

    private companion object {
        /** With the primary, one replica is a majority of a group of three. */
        const val MAJORITY = 2

        /** Time without a confirmation after which the primary counts as cut off from its replicas. */
        val STALL_TIMEOUT: Duration = 1.seconds

        /** Time that the nearest replica has before the others are polled too. */
        val SECOND_REPLICA_DELAY = 40.milliseconds

        /** The same where connections are scarce; well above the usual lag, well below what callers aim at. */
        val SCARCE_REPLICA_DELAY = 120.milliseconds

        /** Interval of polls while a commit waits. */
        val POLL_INTERVAL = 10.milliseconds

        /** Interval of polls once nobody waits and only the resumption of the replication is of interest. */
        val STALLED_POLL_INTERVAL = 100.milliseconds

        /**
         * Time that replicas usually take to apply a commit. The position that a replica has applied comes without the
         * use of a slot; the one that it has received, which may be far ahead, needs a report.
         */
        val APPLICATION_TIME = 40.milliseconds

        /** Time for which a replica that applied too late is asked for reports at once. */
        val REPORT_PERIOD = 1.seconds

        val REPORT = listOf(MemberCommand.Report)
        val APPLIED_POSITION = listOf(MemberCommand.Begin(readOnly = true), MemberCommand.Rollback)
    }
}
