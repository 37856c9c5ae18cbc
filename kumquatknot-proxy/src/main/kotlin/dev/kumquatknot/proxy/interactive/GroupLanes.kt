package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.databasegroup.FreshnessProofs
import dev.kumquatknot.core.databasegroup.PrimaryTracker
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import dev.kumquatknot.core.interactive.ReadCandidate
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.ReadPlacement
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.proxy.event.Event
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The members of one group, and what this VM knows of its primary and of the age of its replicas' data. */
internal class GroupLanes(
    val group: DatabaseName,
    private val environment: NodeEnvironment,
    private val isRemote: (DiscoveredMember) -> Boolean,
    private val connections: () -> Int,
    private val onPrimaryUnknown: (GroupLanes) -> Unit,
) {
    private val lanes = LinkedHashMap<MemberName, MemberLane>()
    private val placement = ReadPlacement()

    val belief = PrimaryTracker()
    val proofs = FreshnessProofs()

    /** All lanes, also those of members that are leaving. */
    val all: Collection<MemberLane> get() = lanes.values

    /** Takes over [members] as discovery has them now; members that it lost stay for a while. */
    fun discovered(members: List<DiscoveredMember>) {
        val now = environment.now()
        members.forEach { member ->
            val known = lanes[member.name]
            if (known != null && known.member.isSameLifeAs(member)) {
                if (member.leaving && !known.member.leaving) logMember(Event.MEMBER_LEAVING, member)
                known.describe(member)
            } else {
                known?.close()
                lanes[member.name] = MemberLane(member, environment, connections, ::observe).also { it.maintain() }
                logMember(Event.MEMBER_DISCOVERED, member)
            }
        }
        val names = members.map { it.name }.toSet()
        lanes.values.filter { it.member.name !in names && it.missingSince == null }.forEach { it.missingSince = now }
        belief.claim(members.singleOrNull { it.claimsPrimary }?.name)
    }

    /** Drops members that discovery has not named for a while, and tends to the other lanes. */
    fun maintain() {
        val now = environment.now()
        val gone = lanes.values.filter { lane ->
            lane.missingSince?.let { now - it > environment.limits.goneAfter }
                ?: false
        }
        gone.forEach { lane ->
            lanes.remove(lane.member.name)
            belief.disprove(lane.member.name, now)
            logMember(Event.MEMBER_GONE, lane.member)
            lane.close()
        }
        lanes.values.forEach { it.maintain() }
    }

    /** Whether [lane] is that of the member believed to lead. */
    fun leads(lane: MemberLane): Boolean = lane.member.name == belief.primary

    /** The lane of the member believed to lead, if it may get new work; null where none is known or it is lost. */
    fun primary(): MemberLane? = primaryLane?.takeIf { lane ->
        val leavingFor = lane.leavingSince?.let { environment.now() - it }
        (leavingFor == null || leavingFor < environment.limits.leavingWrites) && primaryLostSince() == null
    }

    /** The lane of the member believed to lead, whatever its state. */
    val primaryLane: MemberLane? get() = belief.primary?.let { lanes[it] }

    /** When the primary was seen last, where it is out of reach or unknown; null where it leads, or was never seen. */
    fun primaryLostSince(): Duration? {
        val seenAt = proofs.latestProofRequestedAt ?: return null
        val lane = primaryLane
        val isDoubtful = lane == null || !belief.isProved || lane.health.failures > 0
        return seenAt.takeIf { isDoubtful && environment.now() - it > LOST_AFTER }
    }

    /** Returns the point that a read of [route] needs at a replica; null where none is proved. */
    fun required(route: InteractiveRoute, own: HistoryPoint?): HistoryPoint? {
        val age = route.maximumStaleness - environment.limits.stalenessMargin
        val proved = proofs.required(environment.now(), age) ?: return null
        return if (route.consistency == ReadConsistency.READ_YOUR_WRITES && own != null && own > proved) own else proved
    }

    /** Returns the best lane for a read that needs [required], without those in [tried]; null where there is none. */
    fun reader(required: HistoryPoint, tried: Set<MemberName>): MemberLane? {
        val now = environment.now()
        val lost = primaryLane.takeIf { primaryLostSince() != null }
        val candidates = lanes.values
            .filter { it.leavingSince == null && it.health.isUsable && it !== lost && it.member.name !in tried }
            .map { candidate(it, now) }
        return placement.choose(candidates, required)?.let { lanes[it.name] }
    }

    private fun candidate(lane: MemberLane, now: Duration) = ReadCandidate(
        name = lane.member.name,
        primary = leads(lane),
        point = lane.health.point,
        pointAge = now - lane.health.pointAt,
        expectedWait = lane.expectedWait(),
        distance = lane.distance,
        remote = isRemote(lane.member),
    )

    private fun observe(lane: MemberLane, command: MemberCommand, sentAt: Duration, reply: MemberReply) {
        val name = lane.member.name
        val point = reply.point
        reply.report?.let { report ->
            lane.health.reported(report, environment.now())
            lane.counted(report.connections)
            if (!report.primary) disprove(lane, sentAt)
        }
        if (reply.rejection == RejectionCode.READ_ONLY) {
            disprove(lane, sentAt)
            return
        }
        if (!reply.isCompleted || point == null || !provesLead(command, reply)) return
        if (belief.prove(name, sentAt)) {
            proofs.recordPrimaryChange(point, sentAt)
            logBelief(Event.PRIMARY_PROVED, lane, sentAt)
        } else if (belief.primary == name) {
            proofs.note(point, sentAt)
        }
    }

    private fun disprove(lane: MemberLane, sentAt: Duration) {
        if (!belief.disprove(lane.member.name, sentAt)) return
        logBelief(Event.PRIMARY_DISPROVED, lane, sentAt)
        onPrimaryUnknown(this)
    }

    private fun provesLead(command: MemberCommand, reply: MemberReply): Boolean = when (command) {
        is MemberCommand.Begin -> !command.readOnly
        is MemberCommand.Run -> command.access == StatementAccess.WRITE
        is MemberCommand.Execute -> command.access == StatementAccess.WRITE
        is MemberCommand.Report -> reply.report?.primary ?: false
        else -> false
    }

    private fun DiscoveredMember.isSameLifeAs(other: DiscoveredMember) =
        startedAtMillis == other.startedAtMillis && address == other.address

    private fun logMember(event: Event, member: DiscoveredMember) = environment.events.log(
        event,
        "group" to group.value,
        "member" to member.name.value,
        "address" to member.address,
        "dataCentre" to member.dataCentre.value,
    )

    private fun logBelief(event: Event, lane: MemberLane, sentAt: Duration) = environment.events.log(
        event,
        "group" to group.value,
        "member" to lane.member.name.value,
        "point" to lane.health.point?.toString(),
        "evidenceAgeMs" to (environment.now() - sentAt).inWholeMilliseconds,
    )

    private companion object {
        /** Time without a sign of the primary; two questions to it have gone unanswered then. */
        val LOST_AFTER = 800.milliseconds
    }
}
