package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.ReplicationReport
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.interactive.TransactionState
import dev.kumquatknot.proxy.pool.LinkEnd
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Execution of one caller statement at a member, with the session values and the connection it ran on. */
internal data class RunRecord(
    val member: String,
    val request: String,
    val values: Map<String, String>,
    val connection: Int,
    val state: TransactionState,
    val customer: CustomerName? = null,
)

/** A database group in memory: three members, of which one leads; replicas apply commits only on [replicate]. */
internal class FakeGroup(private val loop: VirtualLoop) {
    val runs = ArrayList<RunRecord>()
    val members = listOf("a", "b", "c").map { FakeMember(it, loop, this) }
    private var connections = 0

    /** The primary. */
    var leader = members[0]

    /** Called before a member answers a command. */
    var beforeAnswer: (MemberCommand) -> Unit = {}

    /** Whether replicas apply commits as soon as they receive them, instead of on [replicate]. */
    var appliesAtOnce = false

    /** Number of commits of the leader. */
    var commits = 0L
    private var term = 1L

    val point get() = HistoryPoint(Term(term), LogPosition(commits))

    fun replicate() = members.forEach { it.applied = point }

    fun promote(index: Int) {
        leader = members[index]
        commits = members[index].received.position.value
        term++
        members[index].applied = point
    }

    fun open(member: DiscoveredMember, customer: CustomerName?, events: MemberLinkEvents): MemberLink {
        val target = members.first { it.name == member.name.value }
        return target.Link(events, connections++, customer).also { it.start() }
    }

    fun discovered(leaving: Set<String> = emptySet()) = members.map { it.discovered(it.name in leaving) }

    companion object {
        val NAME = DatabaseName("group")
    }
}

/** One member; its answers take a millisecond. */
internal class FakeMember(val name: String, private val loop: VirtualLoop, private val group: FakeGroup) {
    var applied = HistoryPoint(Term(1), LogPosition(0))

    /** Whether the member receives what the primary commits. */
    var receives = true

    /** End of the received log; a member that receives nothing any more keeps what it has applied. */
    val received get() = if (receives) group.point else applied

    /** Request ids of statements that run but whose answers get lost. */
    val lostAnswers = HashSet<String>()

    /** Request ids of statements to reject instead of running, with the code. */
    val rejections = HashMap<String, RejectionCode>()

    /** Whether the member answers nothing, as after a failure of its VM. */
    var unreachable = false

    /** Whether reports stay unanswered. */
    var hidesReports = false

    /** Time that opening a connection takes. */
    var openingTime = LATENCY

    /** Number of slots, which discovery tells; they limit what runs at the same time only with [busySlots]. */
    var slots = 3

    /** If given, openings occupy a slot for [openingTime], and commands for the time that [workOf] returns. */
    var busySlots: FakeSlots? = null

    /** Time for which a command occupies one of [busySlots]. */
    var workOf: (MemberCommand) -> Duration = { Duration.ZERO }

    /** Attempts to open a connection so far. */
    var opened = 0

    /** Those of them that were rejected, as the member was full. */
    var rejectedOpenings = 0
        private set

    /** Number of connections that the member reports, unless it has a [connectionLimit] and counts its own. */
    var connections = 1

    /** Number of connections above which the member rejects further ones. */
    var connectionLimit = Int.MAX_VALUE

    /** Connections that are open now. */
    var open = 0
        private set

    /** Whether session values are rejected. */
    var rejectsValues = false

    private val leads get() = group.leader === this
    private val end get() = if (leads || group.appliesAtOnce) group.point else applied

    fun discovered(leaving: Boolean) = DiscoveredMember(
        MemberName(name),
        startedAtMillis = 1,
        FakeGroup.NAME,
        "127.0.0.1:1",
        DataCentre(name),
        slots,
        leaving,
        claimsPrimary = leads,
    )

    inner class Link(
        private val events: MemberLinkEvents,
        private val number: Int,
        private val customer: CustomerName?,
    ) : MemberLink {
        private val values = HashMap<String, String>()
        private val plans = HashSet<String>()
        private var state = TransactionState.IDLE
        private var updatable = false
        private var wrote = false
        private var silent = false
        private var closed = false

        fun start() {
            opened++
            if (open >= connectionLimit) {
                closed = true
                rejectedOpenings++
                val full = LinkEnd.Rejected(RejectionCode.TOO_MANY_CONNECTIONS, name)
                loop.schedule(LATENCY) { events.closed(full) }
                return
            }
            open++
            occupySlot(openingTime) { if (!closed && !unreachable) events.opened(end) }
        }

        override fun send(commands: List<MemberCommand>) {
            loop.schedule(LATENCY) {
                val work = commands.fold(Duration.ZERO) { sum, command -> sum + workOf(command) }
                if (work.isPositive()) occupySlot(work) { commands.forEach(::answer) } else commands.forEach(::answer)
            }
        }

        private fun occupySlot(time: Duration, done: () -> Unit) {
            busySlots?.run(time, done) ?: loop.schedule(time, done)
        }

        override fun close() {
            if (!closed) open--
            closed = true
        }

        private fun answer(command: MemberCommand) {
            if (closed || silent || unreachable) return
            if (hidesReports && command is MemberCommand.Report) silent = true
            group.beforeAnswer(command)
            val result = execute(command)
            if (silent) return
            val report = if (command is MemberCommand.Report) report() else null
            events.replied(MemberReply(listOf("row").takeIf { report == null }.orEmpty(), result, state, end, report))
        }

        private fun report() = ReplicationReport(leads, Term(1), if (leads) end else received, Term(0), reported)

        private val reported get() = if (connectionLimit == Int.MAX_VALUE) connections else open

        private fun execute(command: MemberCommand): StatementResult = when (command) {
            is MemberCommand.Begin -> begin(command)
            is MemberCommand.Run -> run(command.request.value, command.access, command.after)
            is MemberCommand.Execute ->
                if (command.name in plans) {
                    run(command.request.value, command.access, command.after)
                } else {
                    rejected(RejectionCode.UNKNOWN_PLAN)
                }
            is MemberCommand.Commit -> commit(command)
            is MemberCommand.Rollback -> completed().also { state = TransactionState.IDLE }
            else -> settle(command)
        }

        private fun settle(command: MemberCommand): StatementResult = when (command) {
            is MemberCommand.SetValue ->
                if (rejectsValues) {
                    rejected(RejectionCode.MALFORMED)
                } else {
                    completed().also { values[command.name] = command.value }
                }
            is MemberCommand.Prepare -> completed().also { plans += command.name }
            is MemberCommand.Reset -> completed().also { values.clear() }.also { plans.clear() }
            else -> completed()
        }

        private fun begin(command: MemberCommand.Begin): StatementResult {
            if (!command.readOnly && !leads) return rejected(RejectionCode.READ_ONLY)
            if (command.after?.let { it > end } == true) return rejected(RejectionCode.LAGGING)
            state = TransactionState.OPEN
            updatable = !command.readOnly
            wrote = false
            return completed()
        }

        private fun run(request: String, access: StatementAccess, after: HistoryPoint?): StatementResult {
            rejections[request]?.let { return rejected(it) }
            val needsLead = access == StatementAccess.WRITE || (state == TransactionState.OPEN && updatable)
            if (needsLead && !leads) return rejected(RejectionCode.READ_ONLY)
            if (after != null && after > end) return rejected(RejectionCode.LAGGING)
            group.runs += RunRecord(name, request, values.toMap(), number, state, customer)
            if (access == StatementAccess.WRITE) {
                if (state == TransactionState.IDLE) group.commits++ else wrote = true
            }
            if (request in lostAnswers) silent = true
            return StatementResult.Completed("signature-$request")
        }

        private fun commit(command: MemberCommand.Commit): StatementResult {
            state = TransactionState.IDLE
            if (wrote && !leads) return rejected(RejectionCode.READ_ONLY)
            if (wrote) group.commits++
            if (command.request.value in lostAnswers) silent = true
            return StatementResult.Completed("signature-${command.request.value}")
        }

        private fun completed() = StatementResult.Completed(null)

        private fun rejected(code: RejectionCode): StatementResult {
            if (state == TransactionState.OPEN) state = TransactionState.FAILED
            return StatementResult.Rejected(code, name)
        }
    }

    private companion object {
        val LATENCY = 1.milliseconds
    }
}
