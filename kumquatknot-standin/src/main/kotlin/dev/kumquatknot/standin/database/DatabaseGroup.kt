package dev.kumquatknot.standin.database

import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.member.TermProposal
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.core.time.SystemClock
import kotlin.time.Duration

/**
 * A stand-in database group in this process: members with terms, logs, fault switches and an embedded SQL engine each,
 * replicated asynchronously. The first member starts as primary in term 1; the others follow it and have the schema
 * from the start.
 *
 * Usable directly through [port], or over gRPC through [DatabaseGroupServer].
 *
 * @param clock clock of commit times, replication lags and the age of the last contact with the primary.
 * @param pause blocks the calling thread for the connect or service time of a member.
 */
public class DatabaseGroup(
    private val settings: DatabaseStandinSettings,
    clock: Clock = SystemClock,
    pause: (Duration) -> Unit = ::sleep,
) : AutoCloseable {
    private val runtime = GroupRuntime(clock, settings.timing, pause, settings.seed)
    private val members = settings.database.members.associate { configuration ->
        val faults = FaultSwitches(settings.timing.replicationLag)
        configuration.name to GroupMember(configuration, faults, runtime, ::H2Engine, ::wakeReplicas)
    }
    private val replication = LogReplicator(members, settings.timing, clock)
    private val endpoints = members.mapValues { (_, member) ->
        val memberDataCentre = member.configuration.dataCentre
        MemberEndpoint(member, runtime, { vm -> settings.timing.latency(settings.vms[vm], memberDataCentre) }, ::pull)
    }
    private val workers = members.values.map { member ->
        ReplicationWorker(member.name.value) { replication.pull(member) }
    }

    @Volatile
    private var replicating = false

    init {
        val problems = settings.problems("settings")
        require(problems.isEmpty()) { problems.joinToString(" ") }
        startFirstTerm()
    }

    /** Names of the members, the first primary first. */
    public val memberNames: List<MemberName> get() = members.keys.toList()

    /** Starts a replication thread for each member. Without it, only [replicateNow] replicates. */
    public fun startReplication() {
        check(!replicating) { "replication threads of the database group are already running" }
        replicating = true
        workers.forEach { it.start() }
    }

    /** Applies the entries that are visible to each replica now, and returns their number. */
    public fun replicateNow(): Int = members.values.sumOf { replication.pull(it).applied }

    /** Returns the port through which a proxy on [vm] calls [member], without a network. */
    public fun port(vm: VmName, member: MemberName): MemberPort = DirectMemberPort(endpoint(member), vm).port()

    /** Sets a fault switch of [member]. */
    public fun set(member: MemberName, fault: MemberFault): Unit = endpoint(member).set(fault)

    /** Returns the report of [member], regardless of its faults. */
    public fun report(member: MemberName): MemberReport = endpoint(member).member.report()

    /** Stops the replication threads, closes all connections and the SQL engines. */
    override fun close() {
        if (replicating) workers.forEach { it.close() }
        endpoints.values.forEach { it.set(MemberFault.Stop) }
        runtime.close()
        members.values.forEach { it.close() }
    }

    internal fun endpoint(member: MemberName): MemberEndpoint =
        requireNotNull(endpoints[member]) { "database ${settings.database.name} has no member $member" }

    private fun pull(member: GroupMember) {
        replication.pull(member)
    }

    private fun wakeReplicas() {
        if (replicating) workers.forEach { it.wake() }
    }

    private fun startFirstTerm() {
        val first = members.values.first()
        val proposal = TermProposal(FIRST_TERM, VmName("initial"))
        first.acceptTerm(proposal)
        first.promote(proposal)
        members.values.drop(1).forEach { it.follow(FIRST_TERM, first.name) }
        if (settings.schema.isNotEmpty()) createSchema(first)
        members.values.forEach { replication.pull(it, delayed = false) }
    }

    private fun createSchema(first: GroupMember) {
        val statements = settings.schema.map { Statement(it) }
        val batch = StatementBatch(RequestId("schema"), FIRST_TERM, readOnly = false, statements, BatchEnd.COMMIT)
        val runner = TransactionRunner(first, runtime) { true }
        val outcome = runner.run(batch)
        runner.close()
        outcome.onLeft { throw IllegalArgumentException("schema of ${settings.database.name}: ${it.detail}") }
    }

    private companion object {
        val FIRST_TERM = Term(1)
    }
}

private fun sleep(time: Duration) = Thread.sleep(
    time.inWholeMilliseconds,
    (time.inWholeNanoseconds % NANOS_PER_MILLI).toInt(),
)

private const val NANOS_PER_MILLI = 1_000_000L
