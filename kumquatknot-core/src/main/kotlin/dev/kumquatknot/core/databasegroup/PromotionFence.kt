package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.interactive.MemberCommand
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps commits from being acknowledged that [candidate] lacks, from before its promotion is ordered until it takes
 * effect.
 *
 * All other replicas are paused: the primary then acknowledges a commit only once the candidate has received it, and
 * nothing at all if the candidate stops receiving. Where that cannot be shown of every replica, the primary is made to
 * step down, which ends all writes. An answer to a command proves nothing. What counts is what the member reports
 * afterwards: a position that stands still while another member advances, or a role other than that of a primary.
 *
 * Confined to one thread.
 *
 * @param primary the primary to be replaced; null if none is known.
 * @param term term of the commands.
 */
internal class PromotionFence(
    val candidate: MemberName,
    val primary: MemberName?,
    val reason: FailoverReason,
    val term: Term,
    val startedAt: Duration,
    private val timing: FenceTiming,
) {
    private val pauses = HashMap<MemberName, PausedReplica>()
    private val isReleased = reason == FailoverReason.PRIMARY_LEAVING
    private var stepDownAnsweredAt: Duration? = null
    private var lastLedAt: Duration? = null
    private var stopped: ReceivedReport? = null
    private var requiredSince = startedAt
    private var announcedPoint: HistoryPoint? = null

    /** Whether the primary was told to step down, whether or not it did. */
    var hasStepDown: Boolean = false
        private set

    /** Whether the primary leads on although it has answered the command to step down. */
    val isDefied: Boolean get() = stepDownAnsweredAt?.let { at -> lastLedAt?.let { it >= at } } ?: false

    /** Records that [member] answered [command] at [now]. */
    fun recordAnswer(member: MemberName, command: MemberCommand.Fence, now: Duration) {
        when (command) {
            is MemberCommand.Pause -> if (command.term == term) pauses[member]?.recordAnswer(now)
            is MemberCommand.StepDown -> if (member == primary) stepDownAnsweredAt = stepDownAnsweredAt ?: now
            is MemberCommand.Resume -> Unit
        }
    }

    /** Records the latest reports of [members]. */
    fun observe(members: List<ObservedMember>) {
        members.forEach { member -> member.report?.let { pauses[member.name]?.observe(it) } }
        members.forEach { member ->
            val report = member.report ?: return@forEach
            pauses.filterKeys { it != member.name }.values.forEach { it.observeOther(report) }
            if (member.name == candidate) observeCandidate(report)
            if (member.name == primary) observePrimary(report)
        }
    }

    /** As long as the candidate reports a pause of a former fence, VMs do not wait for it to receive commits. */
    private fun observeCandidate(report: ReceivedReport) {
        if (!report.isPaused) return
        requiredSince = maxOf(requiredSince, report.answeredAt)
        announcedPoint = null
    }

    private fun observePrimary(report: ReceivedReport) {
        val answeredAt = stepDownAnsweredAt ?: return
        if (report.requestedAt < answeredAt) return
        if (report.leads) lastLedAt = report.requestedAt
        stopped = report.takeIf { !it.leads }
        val isAnnounced = report.requestedAt - requiredSince >= timing.announcementTime
        if (announcedPoint == null && isAnnounced) announcedPoint = report.received
    }

    /** Returns the commands to send at [now] before the order. */
    fun dueCommands(members: List<ObservedMember>, now: Duration): Map<MemberName, MemberCommand.Fence> {
        val pausing = duePauses(members)
        val leading = members.firstOrNull { it.name == primary && it.failingSince == null }
        val isLate = now - startedAt > timing.pauseTimeout || pauses.values.any { it.hasReceived }
        if (leading == null || stepDownAnsweredAt != null || !isLate) return pausing
        hasStepDown = true
        return pausing + (leading.name to MemberCommand.StepDown(term))
    }

    /** Returns the commands that pause replicas which are not paused, or not any more as they have restarted. */
    fun duePauses(members: List<ObservedMember>): Map<MemberName, MemberCommand.Fence> = members
        .filter { it.name != candidate && it.name != primary && it.failingSince == null }
        .filter { pauses.getOrPut(it.name) { PausedReplica(term) }.answeredAt == null }
        .associate { it.name to MemberCommand.Pause(term) }

    /**
     * Returns the member that holds every commit that was or will be acknowledged until its promotion; null while no
     * member is known to.
     */
    fun choose(members: List<ObservedMember>, replication: ObservedReplication, now: Duration): ObservedMember? {
        val reachable = members.filter { it.failingSince == null && it.received != null }
        reachable.firstOrNull { it.name == candidate && mayPromoteUnfenced(it) }?.let { return it }
        // Commits that only a stopped primary has were never acknowledged.
        val replicated = replication.replicated.takeIf { stopped == null }
        val eligible = reachable
            .filter { it.name != primary || isStoppedFor(timing.stepBackDelay, now) }
            .filter { it.hasReceived(replicated) }
            .filter { isComplete(it, members, replication.synchronousReplicas) }
        return eligible.firstOrNull { it.name == candidate }
            ?: eligible.maxWithOrNull(compareBy({ !it.leaving }, { it.name != primary }, { it.received }, { it.name }))
    }

    /**
     * Members that take no commands can still be replaced when they leave. Every VM knows of it after a while, and from
     * then on has no commit acknowledged that a replica lacks which is neither paused nor leaving.
     */
    private fun mayPromoteUnfenced(member: ObservedMember): Boolean {
        val point = announcedPoint ?: return false
        return isDefied && isReleased && !member.leaving && member.hasReceived(point)
    }

    private fun isStoppedFor(time: Duration, now: Duration) = stopped?.let { now - it.answeredAt > time } ?: false

    private fun isComplete(chosen: ObservedMember, members: List<ObservedMember>, synchronousReplicas: Int): Boolean {
        val others = members.filter { it !== chosen && it.name != primary }
        val last = stopped
        if (last != null) {
            val reports = others.map { it.report?.takeIf { report -> report.requestedAt >= last.answeredAt } }
            return chosen.name == primary ||
                chosen.hasReceived(last.received) ||
                reports.all { it != null && chosen.hasReceived(it.received) }
        }
        // A replica that does not answer may be down, and come back without its pause.
        val paused = others.filter { it.failingSince == null }.mapNotNull { pauses[it.name] }
            .filter { it.isShown(isFailing(members), timing) }
        // Where no primary is known, one of the other members may be it.
        val uncounted = if (primary == null) 1 else others.count { hasLeft(it, chosen) }
        val unpaused = others.size - paused.size - uncounted
        return unpaused < synchronousReplicas && paused.all { chosen.hasReceived(it.position) }
    }

    /**
     * Whether a replica that is listed for some time after its end needs no pause for the promotion of [chosen]. Even
     * if it received commits, VMs have those of a leaving primary acknowledged only once the candidate has them.
     */
    private fun hasLeft(member: ObservedMember, chosen: ObservedMember): Boolean {
        val isRequired = isReleased && chosen.name == candidate && !chosen.leaving
        return isRequired && member.leaving && member.failures >= FailoverDecision.MINIMUM_FAILURES
    }

    private fun isFailing(members: List<ObservedMember>) =
        members.none { it.name == primary && it.failingSince == null }

    private fun ObservedMember.hasReceived(point: HistoryPoint?): Boolean =
        point == null || received?.covers(point) ?: false
}

/** What one replica reports after it was told to pause in [term]. */
private class PausedReplica(private val term: Term) {
    private var first: ReceivedReport? = null
    private var latest: ReceivedReport? = null
    private var passedAt: Duration? = null

    var answeredAt: Duration? = null
        private set

    /** Whether the replica has received commits after it answered. */
    var hasReceived: Boolean = false
        private set

    val position: HistoryPoint? get() = latest?.received

    fun recordAnswer(now: Duration) {
        answeredAt = answeredAt ?: now
    }

    fun observe(report: ReceivedReport) {
        val answered = answeredAt ?: return
        val known = latest
        if (report.requestedAt < answered || report == known) return
        if (known != null && known.held >= term && report.held < term) return reset()
        if (known != null && report.received != known.received) hasReceived = true
        first = first ?: report
        latest = report
    }

    /** A restart ends a pause. */
    private fun reset() {
        answeredAt = null
        first = null
        latest = null
        passedAt = null
    }

    fun observeOther(report: ReceivedReport) {
        val position = position ?: return
        if (passedAt == null && report.received > position) passedAt = report.answeredAt
    }

    /**
     * Whether the position has stood still for long enough. As long as the primary may commit, another member has to
     * have advanced meanwhile: in a group without writes, every position stands still.
     */
    fun isShown(isPrimaryFailing: Boolean, timing: FenceTiming): Boolean {
        val from = first ?: return false
        val to = latest ?: return false
        if (hasReceived) return false
        val stoodStill = to.requestedAt - from.answeredAt
        val passed = passedAt?.let { to.requestedAt - it >= timing.standstill } ?: false
        return stoodStill >= timing.idleStandstill || stoodStill >= timing.standstill && (passed || isPrimaryFailing)
    }
}

/**
 * Timeouts of the fence of a promotion.
 *
 * @property standstill time for which a paused replica must not advance while another member does; well above the
 * difference of the delays from the primary to its replicas.
 * @property idleStandstill the same where no other member advances either.
 * @property pauseTimeout time after which the primary is made to step down, as a replica is not shown to be paused.
 * @property stepBackDelay time after which a primary that has stepped down is promoted again, as no replica is known to
 * have received all that it has.
 * @property announcementTime time in which every VM learns that a primary is leaving, and from then on has commits
 * acknowledged only once each replica that is not paused has received them.
 * @property abandonTimeout time after which a fence without effect is lifted.
 * @property retryDelay time from then until the next one, and between two attempts to lift one.
 * @property foreignPauseDelay time for which a replica is seen paused by another VM before the pause is lifted; it
 * doubles with each attempt.
 * @property maximumRetryDelay limit of this time.
 */
public data class FenceTiming(
    val standstill: Duration = 150.milliseconds,
    val idleStandstill: Duration = 1.seconds,
    val pauseTimeout: Duration = 1_500.milliseconds,
    val stepBackDelay: Duration = 2.seconds,
    val announcementTime: Duration = 3.seconds,
    val abandonTimeout: Duration = 6.seconds,
    val retryDelay: Duration = 2.seconds,
    val foreignPauseDelay: Duration = 1.seconds,
    val maximumRetryDelay: Duration = 60.seconds,
)
