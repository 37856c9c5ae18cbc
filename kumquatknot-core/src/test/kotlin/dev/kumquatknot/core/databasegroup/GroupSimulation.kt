package dev.kumquatknot.core.databasegroup

import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.TermProposal
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.time.Clock
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.time.Instant
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Protocol rules, which a run can break on purpose to show that the checks detect it. */
data class ProtocolRules(
    val choose: MemberSelector = ::mostCompleteMember,
    val confirmedPoint: ConfirmedPoint = ::pointConfirmedBy,
    val confirmationMajority: Int = 2,
    val freshnessMajority: Int = 2,
    val incarnations: Boolean = true,
)

/** A write that was acknowledged to its caller; [write] numbers it, and it committed at [point]. */
data class AcknowledgedWrite(
    val write: Int,
    val point: HistoryPoint,
    val committedAt: Duration,
    val acknowledgedAt: Duration,
    val vm: Int,
)

/**
 * Simulation in virtual time of a group of three members and the coordinators of its VMs, connected by links that lose,
 * delay and duplicate messages. Broken guarantees are collected in [violations].
 */
class GroupSimulation(
    seed: Long,
    private val crossRegionLatency: Duration,
    private val rules: ProtocolRules = ProtocolRules(),
    vms: Int = 3,
) {
    val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    val members = listOf("a", "b", "c").map { FakeMember(MemberName(it)) }
    val acknowledged = mutableListOf<AcknowledgedWrite>()
    val violations = mutableListOf<String>()
    val promotions = mutableListOf<Pair<Duration, HistoryPoint>>()
    val blockedLinks = mutableSetOf<Pair<String, String>>()
    val serviceTimeFactors = mutableMapOf<String, Int>()
    val pausedUntil = mutableMapOf<String, Duration>()
    val refusing = mutableSetOf<String>()
    val replicationLag = mutableMapOf<String, Duration>()
    var lossRate = 0.0
    var duplicateRate = 0.0
    var now: Duration = Duration.ZERO
        private set
    private val queue = PriorityQueue<Task>(compareBy<Task> { it.at }.thenBy { it.number })
    private var taskNumber = 0L
    private var writes = 0
    private val primaries = mutableMapOf<Term, MemberName>()
    private val logsAtPromotion = mutableMapOf<Term, Set<Int>>()
    private val majorityReachedAt = mutableMapOf<Term, Duration>()
    private val commits = mutableMapOf<Int, Duration>()
    private val proofs = mutableListOf<Pair<HistoryPoint, Duration>>()
    private val clock = object : Clock {
        override fun elapsed(): Duration = now

        override fun instant(): Instant = Instant.EPOCH
    }
    private val database = DatabaseConfiguration(
        DatabaseName("inventory"),
        members.map { MemberConfiguration(it.name, DataCentre("dc-$it"), "127.0.0.1:0", 3, 20) },
    )

    val nodes = (0 until vms).map { Vm(it) }

    init {
        nodes.forEach { it.event(GroupEvent.Tick) }
        members.forEach { heartbeat(it) }
    }

    fun at(time: Duration, action: () -> Unit) {
        queue += Task(time, taskNumber++, action)
    }

    fun runUntil(end: Duration) {
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val task = queue.poll()
            now = task.at
            task.action()
        }
        now = end
    }

    fun member(name: String) = members.first { it.name.value == name }

    fun primary(): FakeMember? = members.filter { it.role == MemberRole.PRIMARY }.maxByOrNull { it.acceptedTerm }

    fun isolate(name: String, from: Collection<String> = allNodeNames() - name) =
        from.forEach { blockedLinks += setOf(name to it, it to name) }

    fun heal() = blockedLinks.clear()

    fun allNodeNames() = members.map { it.name.value } + nodes.map { it.name }

    /** Checks that data proved to be of some age held all writes acknowledged before, and returns all [violations]. */
    fun finish(): List<String> {
        val byCommit = acknowledged.sortedBy { it.committedAt }
        var next = 0
        var required = HistoryPoint.START
        proofs.sortedBy { it.second }.forEach { (point, provenAt) ->
            while (next < byCommit.size && byCommit[next].committedAt <= provenAt) {
                required = maxOf(required, byCommit[next++].point)
            }
            if (!point.covers(required)) {
                violations +=
                    "data at $point was proved fresh at $provenAt but lacks $required"
            }
        }
        return violations
    }

    private fun heartbeat(sender: FakeMember) {
        push(sender)
        at(now + HEARTBEAT) { heartbeat(sender) }
    }

    private fun push(sender: FakeMember) {
        if (sender.role != MemberRole.PRIMARY || isPaused(sender.name.value)) return
        val term = sender.acceptedTerm
        val entries = sender.log
        members.filter { it != sender }.forEach { replica ->
            val lagOfReplica = replicationLag[replica.name.value] ?: Duration.ZERO
            send(sender.name.value, replica.name.value) {
                replica.replicate(term, sender.name, sharedPrefix(replica, entries), now)
            }
            at(now + lagOfReplica) {
                send(sender.name.value, replica.name.value) { replica.replicate(term, sender.name, entries, now) }
            }
        }
    }

    /** The prefix of the sender's log that the replica already has, sent as a heartbeat without new entries. */
    private fun sharedPrefix(replica: FakeMember, entries: FakeLog?) = entries?.let { replica.log?.commonPrefix(it) }

    private fun isPaused(name: String) = (pausedUntil[name] ?: Duration.ZERO) > now

    private fun send(from: String, to: String, deliver: () -> Unit) {
        if (from to to in blockedLinks || random.nextDouble() < lossRate) return
        val deliveries = if (random.nextDouble() < duplicateRate) 2 else 1
        repeat(deliveries) {
            at(now + latency(from, to)) { whenRunning(to) { if (from to to !in blockedLinks) deliver() } }
        }
    }

    private fun whenRunning(name: String, action: () -> Unit) {
        if (isPaused(name)) at(pausedUntil.getValue(name)) { whenRunning(name, action) } else action()
    }

    private fun latency(from: String, to: String): Duration {
        val base = if (region(from) == region(to)) SAME_REGION_LATENCY else crossRegionLatency
        return base + (random.nextDouble() * base.inWholeMicroseconds * JITTER).toLong().microseconds
    }

    private fun region(name: String) = name.last().let { if (it.isDigit()) it - '0' else it - 'a' }

    private fun promoted(member: FakeMember) {
        val term = member.acceptedTerm
        val previousPrimary = primaries[term]
        if (previousPrimary == member.name) return
        if (previousPrimary != null) violations += "term $term has two primaries, $previousPrimary and ${member.name}"
        primaries[term] = member.name
        val log = member.log!!.writes()
        logsAtPromotion[term] = log
        promotions += now to member.lastEntry
        acknowledged.filter { it.point.term < term }.forEach { checkContainsWrite(it, term, log) }
    }

    private fun recordMajorityTerms() = members.map { it.acceptedTerm }.distinct().forEach { term ->
        if (members.count { it.acceptedTerm >= term } >= 2) majorityReachedAt.getOrPut(term) { now }
    }

    private fun acknowledge(write: AcknowledgedWrite) {
        acknowledged += write
        logsAtPromotion.filterKeys { it > write.point.term }
            .forEach { (term, log) -> checkContainsWrite(write, term, log) }
        val superseded = majorityReachedAt.filterKeys { it > write.point.term }.values.minOrNull()
        if (superseded != null && write.committedAt > superseded) violations += "superseded primary acknowledged $write"
    }

    private fun checkContainsWrite(write: AcknowledgedWrite, term: Term, log: Set<Int>) {
        if (write.write !in log) violations += "primary of term $term lacks acknowledged $write"
    }

    private data class Task(val at: Duration, val number: Long, val action: () -> Unit)

    private data class Pending(val write: Int, val point: HistoryPoint, val primary: MemberName, val deadline: Duration)

    /** One VM: its coordinator, the calls of that coordinator, and callers that write through the VM. */
    inner class Vm(private val index: Int) {
        val name = "vm$index"
        var rank: () -> Int = { index }
        var up = true
        private var incarnation = 0
        private var pending: List<Pending> = emptyList()
        private var wakeNumber = 0L
        private var events = 0
        private var lastView = GroupView(database.name)
        private lateinit var confirmations: ConfirmationTracker
        private lateinit var freshness: FreshnessTracker
        lateinit var coordinator: GroupCoordinator
            private set

        init {
            boot()
        }

        /** Starts a new process of this VM; only the incarnation in its proposer name differs. */
        fun boot() {
            incarnation++
            up = true
            pending = emptyList()
            lastView = GroupView(database.name)
            confirmations = ConfirmationTracker(rules.confirmationMajority, clock, rules.confirmedPoint)
            freshness = FreshnessTracker(rules.freshnessMajority, clock)
            val proposer = VmName(if (rules.incarnations) "$name/$incarnation" else name)
            coordinator = GroupCoordinator(
                database,
                proposer,
                TIMING,
                { rank() },
                random,
                confirmations,
                freshness,
                choose = rules.choose,
                hasWaitingWrites = { pending.isNotEmpty() },
            )
        }

        fun writeEvery(interval: Duration, until: Duration) {
            if (now >= until) return
            at(now + interval) {
                whenRunning(name) { write() }
                writeEvery(interval, until)
            }
        }

        fun event(event: GroupEvent, startedIn: Int = incarnation) {
            if (!up || startedIn != incarnation) return
            val effects = coordinator.on(event, now)
            checkView()
            resolvePending()
            effects.forEach { execute(it) }
            val number = ++wakeNumber
            at(coordinator.nextWake(now)) {
                whenRunning(name) {
                    if (number ==
                        wakeNumber
                    ) {
                        event(GroupEvent.Tick, startedIn)
                    }
                }
            }
        }

        private fun checkView() {
            val view = coordinator.view
            val changed = view.term == lastView.term && view.primary != lastView.primary
            if (view.term < lastView.term || (changed && lastView.primary != null)) {
                violations += "view of $name went from $lastView to $view"
            }
            lastView = view
            if (++events % EVENTS_PER_FRESHNESS_CHECK != 0) return
            view.points.values.forEach { point ->
                freshness.provenAge(point, now)?.let { proofs += point to now - it }
            }
        }

        private fun resolvePending() {
            pending = pending.filter { write ->
                val confirmation = confirmations.confirmation(write.point, write.primary)
                if (confirmation == Confirmation.CONFIRMED) {
                    acknowledge(AcknowledgedWrite(write.write, write.point, commits.getValue(write.write), now, index))
                }
                confirmation == null && now < write.deadline
            }
        }

        private fun write() {
            val view = coordinator.view
            val primary = view.primary ?: return
            if (!up) return
            val number = ++writes
            val startedIn = incarnation
            val target = members.first { it.name == primary }
            send(name, primary.value) {
                val point = target.write(view.term, number)
                if (point != null) {
                    commits[number] = now
                    push(target)
                    val write = Pending(number, point, primary, now + WRITE_DEADLINE)
                    send(primary.value, name) {
                        if (up && startedIn == incarnation) {
                            pending = pending + write
                            event(GroupEvent.Tick)
                        }
                    }
                }
            }
        }

        private fun execute(effect: GroupEffect) {
            val sentAt = now
            when (effect) {
                is GroupEffect.Probe -> call(effect.member, TIMING.probeTimeout, { it.report(now).right() }) {
                    GroupEvent.ReportAnswered(effect.member, sentAt, now, it)
                }
                is GroupEffect.Accept -> call(effect.member, TIMING.callTimeout, { it.accept(effect.proposal, now) }) {
                    GroupEvent.AcceptAnswered(effect.proposal, effect.member, sentAt, it)
                }
                is GroupEffect.Promote -> call(effect.member, TIMING.callTimeout, { promote(it, effect.proposal) }) {
                    GroupEvent.PromoteAnswered(effect.proposal, effect.member, sentAt, it)
                }
                is GroupEffect.Follow ->
                    call(effect.member, TIMING.callTimeout, { it.follow(effect.term, effect.primary, now) }) {
                        GroupEvent.FollowAnswered(effect.member, sentAt, it)
                    }
                is GroupEffect.RequestContactReports -> requestContactReports(effect.primary)
                is GroupEffect.PublishPromotion, is GroupEffect.ViewChanged -> Unit
            }
        }

        private fun promote(member: FakeMember, proposal: TermProposal) = member.promote(proposal, now).onRight {
            promoted(member)
            push(member)
        }

        private fun call(
            name: MemberName,
            timeout: Duration,
            run: (FakeMember) -> MemberAnswer,
            asEvent: (MemberAnswer) -> GroupEvent,
        ) {
            val startedIn = incarnation
            var open = true
            val finish = { answer: MemberAnswer ->
                if (open) {
                    open = false
                    event(asEvent(answer), startedIn)
                }
            }
            val target = members.first { it.name == name }
            at(now + timeout) {
                whenRunning(this.name) { finish(MemberFailure.NoAnswer(name, Step.PROBE, "timeout").left()) }
            }
            send(this.name, name.value) {
                if (name.value in refusing) {
                    send(name.value, this.name) {
                        finish(MemberFailure.Unreachable(name, Step.CONNECT, "refused").left())
                    }
                } else {
                    at(now + SERVICE_TIME * (serviceTimeFactors[name.value] ?: 1)) {
                        whenRunning(name.value) {
                            val answer = run(target)
                            recordMajorityTerms()
                            send(name.value, this.name) { finish(answer) }
                        }
                    }
                }
            }
        }

        private fun requestContactReports(primary: MemberName) {
            val startedIn = incarnation
            val reports = mutableListOf<MemberContactReport>()
            nodes.filter { it !== this }.forEach { other ->
                send(name, other.name) {
                    if (other.up) {
                        val report =
                            MemberContactReport(VmName(other.name), other.coordinator.lastResponseAge(primary, now))
                        send(other.name, name) { reports += report }
                    }
                }
            }
            at(now + CONTACT_REPORT_TIMEOUT) {
                event(GroupEvent.ContactReportsReceived(primary, reports.toList()), startedIn)
            }
        }
    }

    companion object {
        val TIMING = GroupTiming()
        val HEARTBEAT = 100.milliseconds
        val SAME_REGION_LATENCY = 500.microseconds
        val SERVICE_TIME = 1.milliseconds
        val WRITE_DEADLINE = 5.seconds
        val CONTACT_REPORT_TIMEOUT = 200.milliseconds
        const val JITTER = 0.2
        const val EVENTS_PER_FRESHNESS_CHECK = 20
    }
}
