package dev.kumquatknot.standin.fleet

import dev.kumquatknot.core.configuration.Access
import dev.kumquatknot.core.configuration.DataCentreConfiguration
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.configuration.Purpose
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.configuration.TeamConfiguration
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.VmState
import dev.kumquatknot.core.request.CallerRequest
import dev.kumquatknot.core.request.IdempotencyKey
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.session.SessionToken
import dev.kumquatknot.core.time.SystemClock
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.metric.NodeMetrics
import dev.kumquatknot.proxy.node.NodeIdentity
import dev.kumquatknot.proxy.node.NodeDependencies
import dev.kumquatknot.proxy.node.ProxyNode
import dev.kumquatknot.standin.database.DatabaseGroup
import dev.kumquatknot.standin.database.DatabaseStandinSettings
import dev.kumquatknot.standin.database.DatabaseTiming
import kotlinx.serialization.json.Json
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A few real nodes in this process over one stand-in database group, a fake store and a fake network. */
class LocalFleet(
    seed: Long,
    nodeCount: Int = 3,
    timing: DatabaseTiming = DatabaseTiming(connectMillis = 1, serviceMicros = 200, replicationLagMillis = 3),
    schema: List<String> = listOf("CREATE TABLE item (id VARCHAR(40) PRIMARY KEY, quantity BIGINT NOT NULL)"),
) : AutoCloseable {
    val store = FakeStore()
    val network = FakeNetwork()
    private val requests = AtomicLong()
    private val databaseConfiguration = DatabaseConfiguration(
        DATABASE,
        centres.map { MemberConfiguration(MemberName("inventory-$it"), DataCentre(it), "127.0.0.1:0", 3, 20) },
    )
    val configuration = FleetConfiguration(
        number = 1,
        dataCentres = centres.map { DataCentreConfiguration(DataCentre(it), Region(it)) },
        databases = listOf(databaseConfiguration),
        teams = listOf(TeamConfiguration(TEAM, "", listOf(DATABASE), kinds)),
    )
    val group = DatabaseGroup(DatabaseStandinSettings(databaseConfiguration, timing, schema, seed))
    private val listed = List(nodeCount) {
        ListedVm(VmName("entry-$it"), DataCentre(centres[it % centres.size]), "entry-$it", VmState.LIVE)
    }
    val nodes: List<ProxyNode>

    init {
        group.startReplication()
        store.write(
            FleetConfiguration.STORE_KEY,
            Json.encodeToString(FleetConfiguration.serializer(), configuration),
            ObjectVersion.ABSENT,
        )
        store.list(listed)
        nodes = listed.mapIndexed { index, vm -> newNode(vm, seed * NODE_SEED_FACTOR + index) }
        nodes.forEach { it.start() }
    }

    /** Serves [work] at [node] for a session with [token]. */
    fun run(
        node: ProxyNode,
        work: Work,
        token: SessionToken = SessionToken(TEAM),
        kind: KindConfiguration = if (work is Work.Read) browse else book,
        key: String? = null,
        deadline: Duration = 6.seconds,
    ) = node.handle(
        CallerRequest(
            id = RequestId("r-${requests.incrementAndGet()}"),
            team = TEAM,
            kind = kind,
            database = DATABASE,
            work = work,
            token = token,
            key = key?.let { IdempotencyKey(it) },
            deadline = SystemClock.elapsed() + deadline,
        ),
    )

    /** Has the platform's list name the backend server of [member] as leaving. */
    fun markLeaving(member: MemberName) {
        store.list(listed + ListedVm(VmName(member.value), DataCentre(centres.first()), "127.0.0.1:1", VmState.LEAVING))
    }

    /** Waits until every node knows another primary than [member]. */
    fun awaitPrimaryOtherThan(member: MemberName, limit: Duration): Boolean {
        val until = SystemClock.elapsed() + limit
        while (SystemClock.elapsed() < until) {
            if (nodes.all { node -> node.primary(DATABASE)?.let { it.primary != member } == true }) return true
            Thread.sleep(POLL_MILLIS)
        }
        return false
    }

    /** Ends [node] as a killed process would. */
    fun kill(node: Int) {
        network.remove(listed[node].name)
        nodes[node].stop()
    }

    override fun close() {
        nodes.forEach { it.stop() }
        group.close()
    }

    private fun newNode(vm: ListedVm, seed: Long): ProxyNode {
        val parts = NodeDependencies(
            store = store,
            memberPorts = { group.port(vm.name, it.name) },
            peers = network.portOf(vm.name),
            events = EventLog(),
            metrics = NodeMetrics(),
            seed = seed,
        )
        return ProxyNode(NodeIdentity(vm.name, vm.dataCentre, vm.address), parts).also {
            network.join(vm.name, it.peerService)
        }
    }

    companion object {
        val DATABASE = DatabaseName("inventory")
        val TEAM = TeamName("counter")
        val centres = listOf("mendoza-a", "rosario-a", "corrientes-a")
        const val POLL_MILLIS = 10L
        const val NODE_SEED_FACTOR = 100
        val browse = kind("browse", Access.READ, Purpose.BROWSING, Repetition.IDEMPOTENT)
        val book = kind("book", Access.WRITE, Purpose.BOOKING, Repetition.IDEMPOTENT)
        val charge = kind("charge", Access.WRITE, Purpose.PAYMENT, Repetition.AT_MOST_ONCE)
        private val kinds = listOf(browse, book, charge)

        fun insert(id: String, value: Long) = Statement("INSERT INTO item (id, quantity) VALUES ('$id', $value)")

        fun add(id: String, value: Long) = Statement("UPDATE item SET quantity = quantity + $value WHERE id = '$id'")

        fun select(id: String) = Statement("SELECT quantity FROM item WHERE id = '$id'")

        private fun kind(name: String, access: Access, purpose: Purpose, repetition: Repetition) = KindConfiguration(
            KindName(name),
            Rank.URGENT,
            access,
            purpose,
            repetition,
            targetMillis = 300,
            deadlineMillis = 6000,
            floorPercent = 10,
        )
    }
}
