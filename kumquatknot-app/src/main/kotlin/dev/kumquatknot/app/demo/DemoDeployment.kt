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

/** One deployment of the demo on loopback: platform, database groups, and one node in each data centre. */
internal class DemoDeployment(val name: String) : AutoCloseable {
    private val platform = PlatformStandin()
    private val platformServer = PlatformServer(platform)
    private val generated = ConfigurationGenerator.generate(DemoAnswers.read(name))
    private val groups = generated.databases.associate { it.name to DatabaseGroup(settingsOf(it)) }
    private val groupServers = generated.databases.map { database ->
        DatabaseGroupServer(groups.getValue(database.name), settingsOf(database).database.members)
    }
    private val nodes = mutableListOf<RunningNode>()

    /** The configuration in force, with the members' addresses on loopback. */
    lateinit var configuration: FleetConfiguration
        private set

    /** The platform's object API, without the way over HTTP. */
    val store: ObjectStore get() = platform

    /** Names of the VMs. */
    val vms: Set<VmName> = generated.dataCentres.indices.map { VmName("$name-entry-${it + 1}") }.toSet()

    /** Base addresses for callers. */
    val entries: List<String> get() = nodes.map { "http://$LOOPBACK:${it.callerPort}" }

    /** Addresses of today's page. */
    val pages: List<String> get() = nodes.map { "http://$LOOPBACK:${it.operatorPort}/" }

    /** Starts everything and applies the configuration. */
    fun start() {
        platformServer.start()
        groupServers.forEach { it.start() }
        groups.values.forEach { it.startReplication() }
        SessionKeyStore(platform).ensure().getOrElse { error(it.detail) }
        configuration = generated.copy(
            databases = generated.databases.zip(groupServers) { database, server ->
                database.copy(members = server.addresses())
            },
        )
        ConfigurationApplier(platform).apply(configuration).getOrElse { error(it.detail) }
        startNodes()
    }

    /** Stops the first primary of [database]. */
    fun stopPrimary(database: DatabaseName): MemberName {
        val group = groups.getValue(database)
        return group.memberNames.first().also { group.set(it, MemberFault.Stop) }
    }

    /** Starts [member] of [database] again. */
    fun startMember(database: DatabaseName, member: MemberName) {
        groups.getValue(database).set(member, MemberFault.Start)
    }

    override fun close() {
        val stopping = nodes.map { node -> thread { node.stop() } }
        stopping.forEach { it.join() }
        groupServers.forEach { it.close() }
        groups.values.forEach { it.close() }
        platformServer.close()
    }

    private fun startNodes() {
        val ports = freePorts(vms.size)
        val settings = vms.mapIndexed { index, vm ->
            NodeSettings(
                vm = vm,
                dataCentre = generated.dataCentres[index].name,
                callerAddress = "$LOOPBACK:0",
                operatorAddress = "$LOOPBACK:0",
                nodeAddress = "$LOOPBACK:${ports[index]}",
                platformAddress = platformServer.address(),
                databaseAdapter = DatabaseAdapter.StandIn,
                workers = WORKERS,
            )
        }
        settings.forEach { platform.putVm(ListedVm(it.vm, it.dataCentre, it.nodeAddress, VmState.LIVE)) }
        settings.forEach { nodes += NodeLauncher().build(it).getOrElse { failure -> error(failure.detail) } }
        nodes.forEach { it.start() }
    }

    private fun settingsOf(database: DatabaseConfiguration): DatabaseStandinSettings =
        DatabaseStandinSettings(
            database.copy(members = database.members.map { it.copy(address = "$LOOPBACK:0") }),
            schema = listOf(DemoWork.CREATE_TABLE),
        )

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val WORKERS = 64

        /** Returns ports that were free a moment ago; all are held at once so that none is given twice. */
        fun freePorts(count: Int): List<Int> {
            val sockets = List(count) { ServerSocket(0, 1, InetAddress.getByName(LOOPBACK)) }
            return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
        }
    }
}
