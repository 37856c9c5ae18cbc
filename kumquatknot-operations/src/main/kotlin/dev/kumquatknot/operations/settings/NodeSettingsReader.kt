package dev.kumquatknot.operations.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.raise.nullable
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.operations.document.ObjectReader
import dev.kumquatknot.operations.document.Problem
import dev.kumquatknot.operations.document.ProblemCollector
import dev.kumquatknot.operations.document.SourceDocument
import dev.kumquatknot.operations.document.ValueParsers
import kotlinx.serialization.json.JsonPrimitive
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readBytes

/** Reads the JSON settings of one node and reports all problems together. */
public object NodeSettingsReader {
    /** Reads the settings in the file [path]. */
    public fun read(path: Path): Either<NonEmptyList<Problem>, NodeSettings> =
        load(path).flatMap(::read)

    /** Reads the settings in [document]. */
    public fun read(document: SourceDocument): Either<NonEmptyList<Problem>, NodeSettings> =
        document.decode().mapLeft { nonEmptyListOf(it) }.flatMap { json ->
            val collector = ProblemCollector()
            val settings = readRoot(ObjectReader(document.name, "$", json, collector))
            collector.problems.toNonEmptyListOrNull()?.left() ?: checkNotNull(settings).right()
        }

    private fun load(path: Path): Either<NonEmptyList<Problem>, SourceDocument> =
        try {
            SourceDocument(path.toString(), path.readBytes()).right()
        } catch (error: IOException) {
            val fault = "the file can't be read: ${error.javaClass.simpleName}"
            nonEmptyListOf(Problem(path.toString(), "$", null, fault, "give a settings file that exists")).left()
        }

    private fun readRoot(root: ObjectReader): NodeSettings? {
        val vm = root.required("vm", "\"entry-1\"", ValueParsers.name)
        val dataCentre = root.required("dataCentre", "\"mendoza-a\"", ValueParsers.name)
        val callerAddress = root.required("callerAddress", "\"10.0.0.7:8080\"", ValueParsers.listenAddress)
        val operatorAddress = root.required("operatorAddress", "\"10.0.0.7:8081\"", ValueParsers.listenAddress)
        val nodeAddress = root.required("nodeAddress", "\"10.0.0.7:8082\"", ValueParsers.listenAddress)
        val platformAddress = root.required("platformAddress", "\"10.0.0.2:9000\"", ValueParsers.peerAddress)
        val databaseAdapter = root.required(
            "databaseAdapter",
            "\"postgresql\"",
            ValueParsers.choice("adapter", adapters),
        )
        val postgreSql = readPostgreSql(root, databaseAdapter)
        val workers = root.optional("workers", NodeSettings.DEFAULT_WORKERS, ValueParsers.integer(workerRange))
        val seeds = root.optionalValues("seedAddresses", "[\"10.0.0.8:8082\"]", ValueParsers.peerAddress)
        root.reportUnknownFields()
        reportDuplicateAddresses(
            root,
            listOf(
                "callerAddress" to callerAddress,
                "operatorAddress" to operatorAddress,
                "nodeAddress" to nodeAddress,
            ),
        )
        return nullable {
            NodeSettings(
                VmName(vm.bind()),
                DataCentre(dataCentre.bind()),
                callerAddress.bind(),
                operatorAddress.bind(),
                nodeAddress.bind(),
                platformAddress.bind(),
                if (databaseAdapter.bind() == AdapterName.STANDIN) DatabaseAdapter.StandIn else postgreSql.bind(),
                workers.bind(),
                seeds,
            )
        }
    }

    private fun readPostgreSql(root: ObjectReader, databaseAdapter: AdapterName?): DatabaseAdapter.PostgreSql? {
        val section = root.child("postgresql")
        if (databaseAdapter == AdapterName.POSTGRESQL && section == null) {
            val example = """add "postgresql": {"user": "kumquatknot", "passwordVariable": "DATABASE_PASSWORD"}"""
            root.report("postgresql", null, "the field is missing", example)
        }
        if (databaseAdapter == AdapterName.STANDIN && section != null) {
            root.report("postgresql", null, "the adapter \"standin\" has no such settings", "remove the field")
        }
        if (section == null) return null
        val user = section.required("user", "\"kumquatknot\"", ValueParsers.text)
        val passwordVariable = section.required(
            "passwordVariable",
            "\"DATABASE_PASSWORD\"",
            ValueParsers.environmentVariable,
        )
        section.reportUnknownFields()
        return nullable { DatabaseAdapter.PostgreSql(user.bind(), passwordVariable.bind()) }
    }

    private fun reportDuplicateAddresses(root: ObjectReader, addresses: List<Pair<String, String?>>) {
        val fixed = addresses.filter { (_, address) -> address != null && !address.endsWith(EPHEMERAL_PORT_SUFFIX) }
        fixed.groupBy { it.second }.values.filter { it.size > 1 }.forEach { same ->
            val (first, second) = same
            val fault = "the address is already used by ${first.first}"
            root.report(second.first, JsonPrimitive(second.second), fault, "give each a port of its own")
        }
    }

    private enum class AdapterName { STANDIN, POSTGRESQL }

    private val adapters = AdapterName.entries.associateBy { it.name.lowercase() }
    private val workerRange = 1..4096
    private const val EPHEMERAL_PORT_SUFFIX = ":0"
}
