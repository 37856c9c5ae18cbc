package dev.kumquatknot.app.demo

import arrow.core.getOrElse
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.core.platform.VmState
import dev.kumquatknot.operations.configuration.ConfigurationApplier
import dev.kumquatknot.operations.configuration.SessionKeyStore
import dev.kumquatknot.operations.questionnaire.ConfigurationGenerator
import dev.kumquatknot.operations.settings.DatabaseAdapter
import dev.kumquatknot.operations.settings.NodeSettings
import dev.kumquatknot.proxy.node.NodeLauncher
import dev.kumquatknot.proxy.node.RunningNode
import dev.kumquatknot.standin.database.DatabaseGroup
import dev.kumquatknot.standin.database.DatabaseGroupServer
import dev.kumquatknot.standin.database.DatabaseStandinSettings
import dev.kumquatknot.standin.database.MemberFault
import dev.kumquatknot.standin.platform.PlatformServer
import dev.kumquatknot.standin.platform.PlatformStandin
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread

/** One deployment of the demo on loopback: a platform, database groups, and one node in each data centre. */
internal class DemoDeployment(val name: String) : AutoCloseable {
    private val platform = PlatformStandin()
    private val platformServer = PlatformServer(platform)
    private val generatedConfiguration = ConfigurationGenerator.generate(DemoAnswers.read(name))
    private val groups = generatedConfiguration.databases.associate { it.name to DatabaseGroup(settingsOf(it)) }
    private val groupServers = generatedConfiguration.databases.map { database ->
        DatabaseGroupServer(groups.getValue(database.name), settingsOf(database).database.members)
    }
    private val nodes = mutableListOf<RunningNode>()

    /** The applied configuration, which holds the members' addresses on loopback. */
    lateinit var configuration: FleetConfiguration
        private set

    /** The platform's object API, called in process instead of over HTTP. */
    val store: ObjectStore get() = platform

    /** Names of the VMs. */
    val vms: Set<VmName> = generatedConfiguration.dataCentres.indices.map { VmName("$name-entry-${it + 1}") }.toSet()

    /** Base addresses of the nodes for callers. */
    val entryAddresses: List<String> get() = nodes.map { "http://$LOOPBACK:${it.callerPort}" }

    /** Addresses at which the nodes serve today's page. */
    val pageAddresses: List<String> get() = nodes.map { "http://$LOOPBACK:${it.operatorPort}/" }

    /** Starts the platform and the database groups, applies the configuration, and starts the nodes. */
    fun start() {
        platformServer.start()
        groupServers.forEach { it.start() }
        groups.values.forEach { it.startReplication() }
        SessionKeyStore(platform).ensure().getOrElse { error(it.detail) }
        configuration = generatedConfiguration.copy(
            databases = generatedConfiguration.databases.zip(groupServers) { database, server ->
                database.copy(members = server.addresses())
            },
        )
        ConfigurationApplier(platform).apply(configuration).getOrElse { error(it.detail) }
        startNodes()
    }

    /** Stops the first member of [database], which is its initial primary, and returns the name of that member. */
    fun stopPrimary(database: DatabaseName): MemberName {
        val group = groups.getValue(database)
        return group.memberNames.first().also { group.set(it, MemberFault.Stop) }
    }

    /** Restarts [member] of [database]. */
    fun startMember(database: DatabaseName, member: MemberName) {
        groups.getValue(database).set(member, MemberFault.Start)
    }

    override fun close() {
        val stopThreads = nodes.map { node -> thread { node.stop() } }
        stopThreads.forEach { it.join() }
        groupServers.forEach { it.close() }
        groups.values.forEach { it.close() }
        platformServer.close()
    }

    private fun startNodes() {
        val ports = freePorts(vms.size)
        val settings = vms.mapIndexed { index, vm ->
            NodeSettings(
                vm = vm,
                dataCentre = generatedConfiguration.dataCentres[index].name,
                callerAddress = "$LOOPBACK:0",
                operatorAddress = "$LOOPBACK:0",
                nodeAddress = "$LOOPBACK:${ports[index]}",
                platformAddress = platformServer.address(),
                databaseAdapter = DatabaseAdapter.StandIn,
                workers = WORKER_THREADS,
            )
        }
        settings.forEach { platform.putVm(ListedVm(it.vm, it.dataCentre, it.nodeAddress, VmState.LIVE)) }
        settings.forEach { nodes += NodeLauncher().build(it).getOrElse { failure -> error(failure.detail) } }
        nodes.forEach { it.start() }
    }

    private fun settingsOf(database: DatabaseConfiguration): DatabaseStandinSettings =
        DatabaseStandinSettings(
            database.copy(members = database.members.map { it.copy(address = "$LOOPBACK:0") }),
            schema = listOf(DemoStatements.CREATE_TABLE),
        )

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val WORKER_THREADS = 64

        /** Returns [count] different ports that are free at the call; binding all at once prevents duplicates. */
        fun freePorts(count: Int): List<Int> {
            val sockets = List(count) { ServerSocket(0, 1, InetAddress.getByName(LOOPBACK)) }
            return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
        }
    }
}
