package dev.kumquatknot.operations.questionnaire

import arrow.core.raise.nullable
import dev.kumquatknot.core.configuration.DataCentreConfiguration
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.operations.document.ObjectReader
import dev.kumquatknot.operations.document.ValueParsers
import kotlinx.serialization.json.JsonPrimitive

/** Reads and validates the answers about the fleet. */
internal class FleetAnswersReader(private val defaults: AnswerDefaults) {
    fun read(root: ObjectReader): FleetAnswers {
        val dataCentres = root.objects("dataCentres", """[{"name": "mendoza-a", "region": "cuyo"}]""")
            .mapNotNull { reader -> readDataCentre(reader)?.let { Located(reader, it) } }
        reportDuplicates(dataCentres, "name", "data centre") { it.name.value }
        val databases = root.objects("databases", """[{"name": "inventory-1", "members": [...]}]""")
            .mapNotNull { reader -> readDatabase(reader)?.let { Located(reader, it) } }
        root.reportUnknownFields()
        reportDuplicates(databases, "name", "database") { it.name.value }
        val members = databases.flatMap { it.value.members }
        reportDuplicates(members, "name", "member") { it.name.value }
        reportDuplicates(members, "address", "address") { it.address }
        reportUnknownDataCentres(members, dataCentres.map { it.value.name }.toSet())
        return FleetAnswers(
            dataCentres.map { it.value },
            databases.map { database ->
                DatabaseConfiguration(database.value.name, database.value.members.map { it.value })
            },
        )
    }

    private fun readDataCentre(reader: ObjectReader): DataCentreConfiguration? {
        val name = reader.required("name", "\"mendoza-a\"", ValueParsers.name)
        val region = reader.required("region", "\"cuyo\"", ValueParsers.name)
        reader.reportUnknownFields()
        return nullable { DataCentreConfiguration(DataCentre(name.bind()), Region(region.bind())) }
    }

    private fun readDatabase(reader: ObjectReader): LocatedDatabase? {
        val name = reader.required("name", "\"inventory-1\"", ValueParsers.name)
        val slots = reader.optional("slots", defaults.slots, ValueParsers.integer(AnswerLimits.SLOTS))
        val connections =
            reader.optional("connections", defaults.connections, ValueParsers.integer(AnswerLimits.CONNECTIONS))
        val readers = reader.objects("members", MEMBER_EXAMPLE)
        if (readers.isNotEmpty() && readers.size != AnswerLimits.MEMBERS_PER_DATABASE) {
            val fault = "the database has ${readers.size} members"
            reader.report("members", null, fault, "name exactly ${AnswerLimits.MEMBERS_PER_DATABASE} members")
        }
        val members = readers.mapNotNull { member ->
            readMember(member, slots ?: defaults.slots, connections ?: defaults.connections)?.let {
                Located(member, it)
            }
        }
        reader.reportUnknownFields()
        return nullable { LocatedDatabase(DatabaseName(name.bind()), members) }
    }

    private fun readMember(reader: ObjectReader, slots: Int, connections: Int): MemberConfiguration? {
        val name = reader.required("name", "\"inventory-1-a\"", ValueParsers.name)
        val dataCentreName = reader.required("dataCentre", "\"mendoza-a\"", ValueParsers.name)
        val address = reader.required("address", "\"10.1.0.11:5432\"", ValueParsers.peerAddress)
        val ownSlots = reader.optional("slots", slots, ValueParsers.integer(AnswerLimits.SLOTS))
        val ownConnections =
            reader.optional("connections", connections, ValueParsers.integer(AnswerLimits.CONNECTIONS))
        reader.reportUnknownFields()
        return nullable {
            val minimumConnections = ownSlots.bind() + AnswerLimits.SPARE_CONNECTIONS
            if (ownConnections.bind() < minimumConnections) {
                val fault = "the member has fewer connections than its slots and one spare"
                reader.report(
                    "connections",
                    JsonPrimitive(ownConnections),
                    fault,
                    "allow at least $minimumConnections connections",
                )
            }
            MemberConfiguration(
                MemberName(name.bind()),
                DataCentre(dataCentreName.bind()),
                address.bind(),
                ownSlots.bind(),
                ownConnections.bind(),
            )
        }
    }

    private fun reportUnknownDataCentres(members: List<Located<MemberConfiguration>>, known: Set<DataCentre>) {
        members.filter { it.value.dataCentre !in known }.forEach { member ->
            val value = JsonPrimitive(member.value.dataCentre.value)
            val remedy = "use one of ${known.joinToString()}, or add it to \$.dataCentres"
            member.reader.report("dataCentre", value, "the data centre is unknown", remedy)
        }
    }

    private class LocatedDatabase(val name: DatabaseName, val members: List<Located<MemberConfiguration>>)

    private companion object {
        const val MEMBER_EXAMPLE =
            """[{"name": "inventory-1-a", "dataCentre": "mendoza-a", "address": "10.1.0.11:5432"}, ...]"""
    }
}
