package dev.kumquatknot.standin.database

import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.operations.document.Problem
import dev.kumquatknot.standin.settings.SettingsChecks
import dev.kumquatknot.standin.settings.isAddress
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of one stand-in database group.
 *
 * @property database the group; its first member is the first primary, in term 1. Port 0 in a member's address takes a
 * free port.
 * @property schema statements that the first primary runs as its first transaction.
 * @property seed seed of the random decisions of fault switches.
 * @property vms data centres of VMs; calls between a VM and a member in different data
 * centres take the latency each way.
 */
@Serializable
public data class DatabaseStandinSettings(
    val database: DatabaseConfiguration,
    val timing: DatabaseTiming = DatabaseTiming(),
    val schema: List<String> = emptyList(),
    val seed: Long = 1,
    val vms: Map<VmName, DataCentre> = emptyMap(),
) {
    /** Returns what is wrong with these settings, which came from [file]; empty when they are usable. */
    public fun problems(file: String): List<Problem> {
        val checks = SettingsChecks(file)
        checks.check("$.database.members", database.members.size, database.members.isNotEmpty(), "name a member")
        val names = database.members.groupingBy { it.name }.eachCount()
        names.forEach { (name, count) ->
            checks.check("$.database.members", name, count == 1, "give each member a name of its own")
        }
        database.members.forEachIndexed { index, member ->
            val field = "$.database.members[$index]"
            checks.check("$field.slots", member.slots, member.slots > 0, "give at least 1")
            checks.check("$field.connections", member.connections, member.connections > 0, "give at least 1")
            checks.check(
                "$field.address",
                member.address,
                member.address.isAddress(),
                "give host:port, port 0 for any",
            )
        }
        timing.check(checks)
        return checks.problems
    }
}

/**
 * Times of a stand-in database group.
 *
 * @property connectMillis time that opening a connection takes.
 * @property serviceMicros time that a batch occupies its slot, on top of running its statements.
 * @property replicationLagMillis time after the commit before which a replica does not show an entry.
 * @property dataCentreLatencyMillis one-way latency between different data centres.
 * @property lockTimeoutMillis time that a transaction waits for the write lock.
 * @property slotTimeoutMillis time that a batch waits for a slot.
 * @property idleTransactionMillis time after which a transaction without a further batch is rolled back.
 */
@Serializable
public data class DatabaseTiming(
    val connectMillis: Long = 10,
    val serviceMicros: Long = 2_000,
    val replicationLagMillis: Long = 5,
    val dataCentreLatencyMillis: Long = 1,
    val lockTimeoutMillis: Long = 1_000,
    val slotTimeoutMillis: Long = 5_000,
    val idleTransactionMillis: Long = 10_000,
) {
    internal val connect: Duration get() = connectMillis.milliseconds
    internal val service: Duration get() = serviceMicros.microseconds
    internal val replicationLag: Duration get() = replicationLagMillis.milliseconds
    internal val lockTimeout: Duration get() = lockTimeoutMillis.milliseconds
    internal val slotTimeout: Duration get() = slotTimeoutMillis.milliseconds
    internal val idleTransaction: Duration get() = idleTransactionMillis.milliseconds

    /** One-way latency; zero if the data centre of the caller is unknown. */
    internal fun latency(from: DataCentre?, to: DataCentre): Duration =
        if (from == null || from == to) Duration.ZERO else dataCentreLatencyMillis.milliseconds

    internal fun check(checks: SettingsChecks) {
        val fields = mapOf(
            "connectMillis" to connectMillis,
            "serviceMicros" to serviceMicros,
            "replicationLagMillis" to replicationLagMillis,
            "dataCentreLatencyMillis" to dataCentreLatencyMillis,
            "lockTimeoutMillis" to lockTimeoutMillis,
            "slotTimeoutMillis" to slotTimeoutMillis,
            "idleTransactionMillis" to idleTransactionMillis,
        )
        fields.forEach { (name, value) -> checks.check("$.timing.$name", value, value >= 0, "give 0 or more") }
    }
}
