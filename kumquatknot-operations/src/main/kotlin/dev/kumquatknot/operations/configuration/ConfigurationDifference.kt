package dev.kumquatknot.operations.configuration

import dev.kumquatknot.core.configuration.DataCentreConfiguration
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.configuration.TeamConfiguration

/**
 * One change between two configurations.
 *
 * @property text the change in one plain line.
 * @property danger what it may break; null where it is harmless.
 */
public data class ConfigurationChange(val text: String, val danger: String? = null)

/** Compares two configurations. */
public object ConfigurationDifference {
    /** Returns the changes that lead from [before] to [after], without their numbers. */
    public fun between(before: FleetConfiguration, after: FleetConfiguration): List<ConfigurationChange> =
        compare(before.dataCentres, after.dataCentres, { it.name }, changed = ::changedDataCentre) {
            "data centre ${it.name} in ${it.region}"
        } +
            compare(before.databases, after.databases, { it.name }, REMOVED_DATABASE, ::changedDatabase) {
                "database ${it.name}"
            } +
            compare(before.teams, after.teams, { it.name }, REMOVED_TEAM, ::changedTeam) { "team ${it.name}" }

    private fun changedDataCentre(
        before: DataCentreConfiguration,
        after: DataCentreConfiguration,
    ): List<ConfigurationChange> = listOfNotNull(
        field("data centre ${after.name}: region", before.region, after.region),
    )

    private fun changedDatabase(
        before: DatabaseConfiguration,
        after: DatabaseConfiguration,
    ): List<ConfigurationChange> =
        compare(before.members, after.members, { it.name }, REMOVED_MEMBER, ::changedMember) {
            "member ${it.name} of database ${after.name}"
        }

    private fun changedMember(before: MemberConfiguration, after: MemberConfiguration): List<ConfigurationChange> =
        listOfNotNull(
            field("member ${after.name}: data centre", before.dataCentre, after.dataCentre),
            field("member ${after.name}: address", before.address, after.address, MOVED_MEMBER),
            field("member ${after.name}: slots", before.slots, after.slots),
            field("member ${after.name}: connections", before.connections, after.connections),
        )

    private fun changedTeam(before: TeamConfiguration, after: TeamConfiguration): List<ConfigurationChange> {
        val prefix = "team ${after.name}"
        val hashes = before.keyHash.take(HASH_DIGITS) to after.keyHash.take(HASH_DIGITS)
        val key = listOfNotNull(field("$prefix: key hash", hashes.first, hashes.second, CHANGED_KEY))
        val databases = compare(before.databases, after.databases, { it }, LOST_DATABASE) { "$prefix: database $it" }
        val changedKinds = { old: KindConfiguration, new: KindConfiguration -> changedKind(prefix, old, new) }
        val kinds = compare(before.kinds, after.kinds, { it.name }, REMOVED_KIND, changedKinds) {
            "$prefix: kind ${it.name}"
        }
        return key + databases + kinds
    }

    private fun changedKind(
        team: String,
        before: KindConfiguration,
        after: KindConfiguration,
    ): List<ConfigurationChange> {
        val prefix = "$team, kind ${after.name}"
        val repeatable = RELAXED_REPETITION.takeIf { after.repetition == Repetition.IDEMPOTENT }
        return listOfNotNull(
            field("$prefix: rank", before.rank.word(), after.rank.word()),
            field("$prefix: access", before.access.word(), after.access.word()),
            field("$prefix: purpose", before.purpose.word(), after.purpose.word()),
            field("$prefix: repetition", before.repetition.word(), after.repetition.word(), repeatable),
            field("$prefix: target", "${before.targetMillis} ms", "${after.targetMillis} ms"),
            field("$prefix: deadline", "${before.deadlineMillis} ms", "${after.deadlineMillis} ms"),
            field("$prefix: age", age(before), age(after)),
            field("$prefix: share", "${before.floorPercent} %", "${after.floorPercent} %"),
        )
    }

    private fun age(kind: KindConfiguration): String = kind.maximumAgeMillis?.let { "$it ms" } ?: "none"

    private fun Enum<*>.word(): String = name.lowercase().replace('_', '-')

    private fun field(what: String, before: Any, after: Any, danger: String? = null): ConfigurationChange? =
        if (before == after) null else ConfigurationChange("change $what from $before to $after", danger)

    private fun <T, K : Comparable<K>> compare(
        before: List<T>,
        after: List<T>,
        key: (T) -> K,
        removal: String? = null,
        changed: (T, T) -> List<ConfigurationChange> = { _, _ -> emptyList() },
        describe: (T) -> String,
    ): List<ConfigurationChange> {
        val old = before.associateBy(key)
        val new = after.associateBy(key)
        return (old.keys + new.keys).sorted().flatMap { name ->
            val was = old[name]
            val becomes = new[name]
            when {
                was == null && becomes != null -> listOf(ConfigurationChange("add ${describe(becomes)}"))
                was != null && becomes == null -> listOf(ConfigurationChange("remove ${describe(was)}", removal))
                was != null && becomes != null -> changed(was, becomes)
                else -> emptyList()
            }
        }
    }

    private const val HASH_DIGITS = 12
    private const val REMOVED_DATABASE = "its callers are refused from then on"
    private const val REMOVED_TEAM = "its callers are refused from then on"
    private const val REMOVED_KIND = "requests of this kind are refused from then on"
    private const val REMOVED_MEMBER = "acknowledged writes are safe only if the other members hold them"
    private const val MOVED_MEMBER = "the server at the new address must hold the member's log"
    private const val LOST_DATABASE = "the team's requests to it are refused from then on"
    private const val CHANGED_KEY = "callers with the old key are refused from then on"
    private const val RELAXED_REPETITION = "a retry may run the work twice"
}
