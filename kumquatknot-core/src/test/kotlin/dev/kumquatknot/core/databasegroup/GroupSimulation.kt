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

/** Rules that a run may break on purpose, to show that its checks notice. */
data class Rules(
    val choose: ChooseMember = ::mostComplete,
    val confirmedPoint: ConfirmedPoint = ::pointConfirmedBy,
    val confirmationMajority: Int = 2,
    val freshnessMajority: Int = 2,
    val incarnations: Boolean = true,
)

data class AckedWrite(
    val write: Int,
    val point: HistoryPoint,
    val committedAt: Duration,
    val ackedAt: Duration,
    val vm: Int,
)

/** Virtual time, three members and as many coordinators, joined by links that lose, delay and duplicate messages. */
class GroupSimulation(seed: Long, private val oneWay: Duration, private val rules: Rules = Rules(), vms: Int = 3) {
    val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    val members = listOf("a", "b", "c").map { FakeMember(MemberName(it)) }
    val acked = mutableListOf<AckedWrite>()
    val violations = mutableListOf<String>()
    val promotions = mutableListOf<Pair<Duration, HistoryPoint>>()
    val cut = mutableSetOf<Pair<String, String>>()
    val slow = mutableMapOf<String, Int>()
    val frozenUntil = mutableMapOf<String, Duration>()
    val refusing = mutableSetOf<String>()
    val lag = mutableMapOf<String, Duration>()
    var loss = 0.0
    var duplicates = 0.0
    var now: Duration = Duration.ZERO
        private set
    private val queue = PriorityQueue<Task>(compareBy<Task> { it.at }.thenBy { it.number })
    private var taskNumber = 0L
    private var writes = 0
    private val primaries = mutableMapOf<Term, MemberName>()
    private val startLogs = mutableMapOf<Term, Set<Int>>()
    private val majorityAt = mutableMapOf<Term, Duration>()
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

    fun isolate(name: String, from: Collection<String> = everyone() - name) =
        from.forEach { cut += setOf(name to it, it to name) }

    fun heal() = cut.clear()

    fun everyone() = members.map { it.name.value } + nodes.map { it.name }

    /** Checks what can only be judged at the end. */
    fun finish(): List<String> {
        val byCommit = acked.sortedBy { it.committedAt }
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
        if (sender.role != MemberRole.PRIMARY || isFrozen(sender.name.value)) return
        val term = sender.acceptedTerm
        val entries = sender.log
        members.filter { it != sender }.forEach { replica ->
            val behind = lag[replica.name.value] ?: Duration.ZERO
            send(sender.name.value, replica.name.value) {
                replica.replicate(term, sender.name, shared(replica, entries), now)
            }
            at(now + behind) {
                send(sender.name.value, replica.name.value) { replica.replicate(term, sender.name, entries, now) }
            }
        }
    }

    /** A heartbeat without new entries: as much of the sender's log as the replica already has. */
    private fun shared(replica: FakeMember, entries: FakeLog?) = entries?.let { replica.log?.common(it) }

    private fun isFrozen(name: String) = (frozenUntil[name] ?: Duration.ZERO) > now

    private fun send(from: String, to: String, deliver: () -> Unit) {
        if (from to to in cut || random.nextDouble() < loss) return
        val copies = if (random.nextDouble() < duplicates) 2 else 1
        repeat(copies) { at(now + latency(from, to)) { whenAwake(to) { if (from to to !in cut) deliver() } } }
    }

    private fun whenAwake(name: String, action: () -> Unit) {
        if (isFrozen(name)) at(frozenUntil.getValue(name)) { whenAwake(name, action) } else action()
    }

    private fun latency(from: String, to: String): Duration {
        val base = if (region(from) == region(to)) LOCAL_LATENCY else oneWay
        return base + (random.nextDouble() * base.inWholeMicroseconds * JITTER).toLong().microseconds
    }

    private fun region(name: String) = name.last().let { if (it.isDigit()) it - '0' else it - 'a' }

    private fun promoted(member: FakeMember) {
        val term = member.acceptedTerm
        val known = primaries[term]
        if (known == member.name) return
        if (known != null) violations += "term $term has two primaries, $known and ${member.name}"
        primaries[term] = member.name
        val log = member.log!!.writes()
        startLogs[term] = log
        promotions += now to member.lastEntry
        acked.filter { it.point.term < term }.forEach { checkKept(it, term, log) }
    }

    private fun noteMajority() = members.map { it.acceptedTerm }.distinct().forEach { term ->
        if (members.count { it.acceptedTerm >= term } >= 2) majorityAt.getOrPut(term) { now }
    }

    private fun acknowledge(write: AckedWrite) {
        acked += write
        startLogs.filterKeys { it > write.point.term }.forEach { (term, log) -> checkKept(write, term, log) }
        val superseded = majorityAt.filterKeys { it > write.point.term }.values.minOrNull()
        if (superseded != null && write.committedAt > superseded) violations += "superseded primary acknowledged $write"
    }

    private fun checkKept(write: AckedWrite, term: Term, log: Set<Int>) {
        if (write.write !in log) violations += "primary of term $term lacks acknowledged $write"
    }

    private data class Task(val at: Duration, val number: Long, val action: () -> Unit)

    private data class Pending(val write: Int, val point: HistoryPoint, val primary: MemberName, val deadline: Duration)

    /** One VM: a coordinator, its calls, and callers that write and read through it. */
    inner class Vm(private val index: Int) {
        val name = "vm$index"
        var rank: () -> Int = { index }
        var up = true
        private var life = 0
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

        /** Starts a new process under the same name. */
        fun boot() {
            life++
            up = true
            pending = emptyList()
            lastView = GroupView(database.name)
            confirmations = ConfirmationTracker(rules.confirmationMajority, clock, rules.confirmedPoint)
            freshness = FreshnessTracker(rules.freshnessMajority, clock)
            val proposer = VmName(if (rules.incarnations) "$name/$life" else name)
            coordinator = GroupCoordinator(
                database,
                proposer,
                TIMING,
                { rank() },
                random,
                confirmations,
                freshness,
                choose = rules.choose,
                writesWait = { pending.isNotEmpty() },
            )
        }

        fun writeEvery(interval: Duration, until: Duration) {
            if (now >= until) return
            at(now + interval) {
                whenAwake(name) { write() }
                writeEvery(interval, until)
            }
        }

        fun event(event: GroupEvent, bornIn: Int = life) {
            if (!up || bornIn != life) return
            val effects = coordinator.on(event, now)
            checkView()
            settle()
            effects.forEach { carryOut(it) }
            val number = ++wakeNumber
            at(coordinator.nextWake(now)) {
                whenAwake(name) {
                    if (number ==
                        wakeNumber
                    ) {
                        event(GroupEvent.Tick, bornIn)
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
            if (++events % EVENTS_PER_PROOF != 0) return
            view.points.values.forEach { point ->
                freshness.provenAge(point, now)?.let { proofs += point to now - it }
            }
        }

        private fun settle() {
            pending = pending.filter { write ->
                val confirmation = confirmations.confirmation(write.point, write.primary)
                if (confirmation == Confirmation.CONFIRMED) {
                    acknowledge(AckedWrite(write.write, write.point, commits.getValue(write.write), now, index))
                }
                confirmation == null && now < write.deadline
            }
        }

        private fun write() {
            val view = coordinator.view
            val primary = view.primary ?: return
            if (!up) return
            val number = ++writes
            val born = life
            val target = members.first { it.name == primary }
            send(name, primary.value) {
                val point = target.write(view.term, number)
                if (point != null) {
                    commits[number] = now
                    push(target)
                    val write = Pending(number, point, primary, now + WRITE_DEADLINE)
                    send(primary.value, name) {
                        if (up && born == life) {
                            pending = pending + write
                            event(GroupEvent.Tick)
                        }
                    }
                }
            }
        }

        private fun carryOut(effect: GroupEffect) {
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
                is GroupEffect.AskVantage -> askVantage(effect.primary)
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
            val born = life
            var open = true
            val finish = { answer: MemberAnswer ->
                if (open) {
                    open = false
                    event(asEvent(answer), born)
                }
            }
            val target = members.first { it.name == name }
            at(now + timeout) {
                whenAwake(this.name) { finish(MemberFailure.NoAnswer(name, Step.PROBE, "timeout").left()) }
            }
            send(this.name, name.value) {
                if (name.value in refusing) {
                    send(name.value, this.name) {
                        finish(MemberFailure.Unreachable(name, Step.CONNECT, "refused").left())
                    }
                } else {
                    at(now + SERVICE_TIME * (slow[name.value] ?: 1)) {
                        whenAwake(name.value) {
                            val answer = run(target)
                            noteMajority()
                            send(name.value, this.name) { finish(answer) }
                        }
                    }
                }
            }
        }

        private fun askVantage(primary: MemberName) {
            val born = life
            val reports = mutableListOf<MemberContactReport>()
            nodes.filter { it !== this }.forEach { other ->
                send(name, other.name) {
                    if (other.up) {
                        val report = MemberContactReport(VmName(other.name), other.coordinator.heardAgo(primary, now))
                        send(other.name, name) { reports += report }
                    }
                }
            }
            at(now + VANTAGE_TIMEOUT) { event(GroupEvent.ContactReportsReceived(primary, reports.toList()), born) }
        }
    }

    companion object {
        val TIMING = GroupTiming()
        val HEARTBEAT = 100.milliseconds
        val LOCAL_LATENCY = 500.microseconds
        val SERVICE_TIME = 1.milliseconds
        val WRITE_DEADLINE = 5.seconds
        val VANTAGE_TIMEOUT = 200.milliseconds
        const val JITTER = 0.2
        const val EVENTS_PER_PROOF = 20
    }
}
