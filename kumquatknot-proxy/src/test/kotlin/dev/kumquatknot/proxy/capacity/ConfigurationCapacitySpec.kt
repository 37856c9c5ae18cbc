package dev.kumquatknot.proxy.capacity

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
import dev.kumquatknot.core.membership.Membership
import dev.kumquatknot.core.membership.VmCondition
import dev.kumquatknot.core.membership.VmRecord
import dev.kumquatknot.proxy.node.GatewayAssignment
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan
import java.io.ByteArrayOutputStream
import java.util.zip.GZIPOutputStream
import kotlin.time.Duration
import kotlin.time.measureTime

/** Limits the sizes and times that grow with the number of database groups. */
class ConfigurationCapacitySpec {
    private val counts = System.getProperty("capacity.databases", "10,100,940").split(",").map { it.toInt() }

    @Test
    fun `the configuration fits into a stored value and the bandwidth budget of control traffic`() {
        counts.forEach { count ->
            val text = Json.encodeToString(FleetConfiguration.serializer(), configuration(count))
            val compressed = ByteArrayOutputStream().also { out ->
                GZIPOutputStream(out).use { it.write(text.toByteArray()) }
            }
            val parse = fastestRun { Json.decodeFromString(FleetConfiguration.serializer(), text) }
            val bytesPerSecond = compressed.size() * CHANGES_PER_DAY / SECONDS_PER_DAY
            println(
                "ConfigurationCapacitySpec: $count databases: ${text.length} bytes, ${compressed.size()} compressed, " +
                    "$bytesPerSecond B/s at $CHANGES_PER_DAY changes a day, read in $parse",
            )
            expectThat(text.length).isLessThan(MAXIMUM_VALUE_LENGTH)
            expectThat(bytesPerSecond).isLessThan(CONTROL_BYTES_PER_SECOND)
        }
    }

    @Test
    fun `the time to reassign the gateways of all members is printed`() {
        val nodes = System.getProperty("capacity.nodes", "8,62").split(",").map { it.toInt() }
        nodes.forEach { size ->
            val configuration = configuration(counts.max())
            val records = List(size) {
                VmRecord(VmName("vm-$it"), dataCentre(it), "10.0.0.1:1", 0, VmCondition.LIVE)
            }
            val membership = Membership(records.first()).merged(records.drop(1), Duration.ZERO).membership
            val time = fastestRun { GatewayAssignment(configuration, membership).membersOf(VmName("vm-1")) }
            println("ConfigurationCapacitySpec: $size nodes, ${counts.max()} databases: gateways chosen in $time")
        }
    }

    private fun fastestRun(action: () -> Unit): Duration = List(REPETITIONS) { measureTime(action) }.min()

    private fun dataCentre(index: Int) = DataCentre("centre-${index % DATA_CENTRES}")

    private fun configuration(databases: Int) = FleetConfiguration(
        number = 1,
        dataCentres = List(DATA_CENTRES) { DataCentreConfiguration(dataCentre(it), Region("region-${it / 2}")) },
        databases = List(databases) { index ->
            val members = List(MEMBERS) { member ->
                val address = "10.${index % 250}.${index / 250}.$member:5432"
                MemberConfiguration(MemberName("database-$index-$member"), dataCentre(index + member), address, 3, 30)
            }
            DatabaseConfiguration(DatabaseName("database-$index"), members)
        },
        teams = List((databases / DATABASES_PER_TEAM).coerceAtLeast(1)) { index ->
            val own = List(DATABASES_PER_TEAM) { DatabaseName("database-${index * DATABASES_PER_TEAM + it}") }
            TeamConfiguration(
                TeamName("team-$index"),
                "0123456789abcdef".repeat(4).reversed() + index,
                own,
                kinds(index),
            )
        },
    )

    private fun kinds(team: Int) = List(KINDS) { index ->
        KindConfiguration(
            name = KindName("kind-$team-$index"),
            rank = Rank.entries[index % Rank.entries.size],
            access = Access.entries[index % 2],
            purpose = Purpose.entries[index],
            repetition = Repetition.entries[index % 2],
            targetMillis = 200L + team,
            deadlineMillis = 5_000,
            maximumAgeMillis = if (index % 2 == 0) 30_000 else null,
            floorPercent = 10,
        )
    }

    private companion object {
        const val DATA_CENTRES = 4
        const val MEMBERS = 3
        const val KINDS = 5
        const val DATABASES_PER_TEAM = 5
        const val REPETITIONS = 20
        const val MAXIMUM_VALUE_LENGTH = 1_000_000
        const val CHANGES_PER_DAY = 2_900
        const val SECONDS_PER_DAY = 86_400
        const val CONTROL_BYTES_PER_SECOND = 12_000
    }
}
