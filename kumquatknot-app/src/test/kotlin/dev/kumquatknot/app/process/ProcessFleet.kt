package dev.kumquatknot.app.process

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
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.VmState
import dev.kumquatknot.operations.configuration.ConfigurationApplier
import dev.kumquatknot.operations.configuration.SessionKeyStore
import dev.kumquatknot.proxy.adapter.platform.HttpObjectStore
import dev.kumquatknot.standin.database.DatabaseStandinSettings
import dev.kumquatknot.standin.platform.PlatformStandinSettings
import kotlinx.serialization.json.Json
import java.io.File
import java.net.InetAddress
import java.net.ServerSocket
import java.net.URI
import java.nio.file.Files
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.TimeUnit

/** A stand-in platform, a stand-in database group and three nodes on loopback, each in its own process. */
class ProcessFleet : AutoCloseable {
    private val folder = Files.createTempDirectory("process-fleet").toFile()
    private val processes = mutableListOf<Process>()
    private val nodePorts = freePorts(NODE_COUNT)
    private val listedVms = nodePorts.mapIndexed { index, port ->
        ListedVm(VmName("entry-$index"), dataCentreNames[index], "127.0.0.1:$port", VmState.LIVE)
    }
    private val platformProcess = startProcess("platform", "standin", "platform", platformSettings())
    private val databaseProcess = startProcess("database", "standin", "database", databaseSettings())
    val nodes: List<NodeProcess>

    init {
        val store = HttpObjectStore(URI("http://${platformProcess.readyLine.substringAfterLast(' ')}"))
        check(SessionKeyStore(store).ensure().isRight())
        check(ConfigurationApplier(store).apply(configuration()).isRight())
        nodes = listedVms.indices.map { startNode(it) }
    }

    override fun close() {
        processes.forEach { it.destroyForcibly() }
        processes.forEach { it.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS) }
        folder.deleteRecursively()
    }

    private fun startNode(index: Int): NodeProcess {
        val settings = """
            {"vm": "entry-$index", "dataCentre": "${dataCentreNames[index]}", "callerAddress": "127.0.0.1:0",
             "operatorAddress": "127.0.0.1:0", "nodeAddress": "${listedVms[index].address}",
             "platformAddress": "${platformProcess.readyLine.substringAfterLast(' ')}", "databaseAdapter": "standin"}
        """.trimIndent()
        val started = startProcess("entry-$index", "proxy", writeSettings(settings, "entry-$index"))
        val port = Regex("callers at port (\\d+)").find(started.readyLine)!!.groupValues[1].toInt()
        return NodeProcess("entry-$index", port, started.process)
    }

    private fun startProcess(name: String, vararg arguments: String): StartedProcess {
        val command = listOf(
            "${System.getProperty("java.home")}/bin/java",
            "-Xmx256m",
            "-cp",
            System.getProperty("java.class.path"),
            "dev.kumquatknot.app.MainKt",
        ) + arguments
        val output = File(folder, "$name.out")
        val process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start()
        processes += process
        return StartedProcess(process, awaitReadyLine(output, process))
    }

    private fun awaitReadyLine(output: File, process: Process): String {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS)
        while (System.nanoTime() < deadline && process.isAlive) {
            output.readLines().firstOrNull { "ready at" in it || "serves callers" in it }?.let { return it }
            Thread.sleep(POLL_INTERVAL_MILLIS)
        }
        error("the process did not start: ${output.readText()}")
    }

    private fun writeSettings(text: String, name: String): String =
        File(folder, "$name.json").apply { writeText(text) }.path

    private fun platformSettings() = writeSettings(
        Json.encodeToString(PlatformStandinSettings.serializer(), PlatformStandinSettings(vms = listedVms)),
        "platform",
    )

    private fun databaseSettings(): String {
        val members = dataCentreNames.map { MemberConfiguration(MemberName("inventory-$it"), it, "127.0.0.1:0", 3, 20) }
        val settings = DatabaseStandinSettings(
            database = DatabaseConfiguration(databaseName, members),
            schema = listOf("CREATE TABLE item (id VARCHAR(40) PRIMARY KEY, quantity BIGINT NOT NULL)"),
        )
        return writeSettings(Json.encodeToString(DatabaseStandinSettings.serializer(), settings), "database")
    }

    private fun configuration(): FleetConfiguration {
        val addresses = databaseProcess.readyLine.substringAfter("ready at ").split(' ').map { it.split('=') }
        val members = addresses.mapIndexed { index, (name, address) ->
            MemberConfiguration(MemberName(name), dataCentreNames[index], address, 3, 20)
        }
        val hash = MessageDigest.getInstance("SHA-256").digest(TEAM_KEY.toByteArray())
        return FleetConfiguration(
            number = 0,
            dataCentres = dataCentreNames.map { DataCentreConfiguration(it, Region(it.value)) },
            databases = listOf(DatabaseConfiguration(databaseName, members)),
            teams = listOf(
                TeamConfiguration(
                    TeamName("counter"),
                    HexFormat.of().formatHex(hash),
                    listOf(databaseName),
                    listOf(kind("look-up", Access.READ), kind("book", Access.WRITE)),
                ),
            ),
        )
    }

    private fun kind(name: String, access: Access) = KindConfiguration(
        KindName(name),
        Rank.URGENT,
        access,
        Purpose.BOOKING,
        Repetition.IDEMPOTENT,
        targetMillis = 300,
        deadlineMillis = 10_000,
        floorPercent = 10,
    )

    private class StartedProcess(val process: Process, val readyLine: String)

    companion object {
        const val TEAM_KEY = "process-fleet-key"
        private const val NODE_COUNT = 3
        private const val START_TIMEOUT_SECONDS = 30L
        private const val STOP_TIMEOUT_SECONDS = 10L
        private const val POLL_INTERVAL_MILLIS = 50L
        private val databaseName = DatabaseName("inventory")
        private val dataCentreNames = listOf("mendoza-a", "rosario-a", "corrientes-a").map { DataCentre(it) }

        private fun freePorts(count: Int): List<Int> {
            val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
            return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
        }
    }
}

/** A node that runs in its own process. */
class NodeProcess(val name: String, val callerPort: Int, val process: Process) {
    val address: String get() = "http://127.0.0.1:$callerPort"

    /** Sends [signal], such as `STOP`, to the process and waits until the `kill` command ends. */
    fun sendSignal(signal: String) {
        ProcessBuilder("kill", "-$signal", process.pid().toString()).start().waitFor()
    }
}
