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
 * @property text one-line description of the change.
 * @property danger what the change may break; null if it is harmless.
 */
public data class ConfigurationChange(val text: String, val danger: String? = null)

/** Compares two configurations. */
public object ConfigurationDifference {
    /** Returns the changes from [before] to [after]; the configuration numbers are not compared. */
    public fun between(before: FleetConfiguration, after: FleetConfiguration): List<ConfigurationChange> =
        compare(before.dataCentres, after.dataCentres, { it.name }, changed = ::dataCentreChanges) {
            "data centre ${it.name} in ${it.region}"
        } +
            compare(before.databases, after.databases, { it.name }, DATABASE_REMOVAL_DANGER, ::databaseChanges) {
                "database ${it.name}"
            } +
            compare(before.teams, after.teams, { it.name }, TEAM_REMOVAL_DANGER, ::teamChanges) { "team ${it.name}" }

    private fun dataCentreChanges(
        before: DataCentreConfiguration,
        after: DataCentreConfiguration,
    ): List<ConfigurationChange> = listOfNotNull(
        fieldChange("data centre ${after.name}: region", before.region, after.region),
    )

    private fun databaseChanges(
        before: DatabaseConfiguration,
        after: DatabaseConfiguration,
    ): List<ConfigurationChange> =
        compare(before.members, after.members, { it.name }, MEMBER_REMOVAL_DANGER, ::memberChanges) {
            "member ${it.name} of database ${after.name}"
        }

    private fun memberChanges(before: MemberConfiguration, after: MemberConfiguration): List<ConfigurationChange> =
        listOfNotNull(
            fieldChange("member ${after.name}: data centre", before.dataCentre, after.dataCentre),
            fieldChange("member ${after.name}: address", before.address, after.address, ADDRESS_CHANGE_DANGER),
            fieldChange("member ${after.name}: slots", before.slots, after.slots),
            fieldChange("member ${after.name}: connections", before.connections, after.connections),
        )

    private fun teamChanges(before: TeamConfiguration, after: TeamConfiguration): List<ConfigurationChange> {
        val prefix = "team ${after.name}"
        val hashes = before.keyHash.take(HASH_DIGITS) to after.keyHash.take(HASH_DIGITS)
        val key = listOfNotNull(fieldChange("$prefix: key hash", hashes.first, hashes.second, KEY_CHANGE_DANGER))
        val databases = compare(before.databases, after.databases, { it }, DATABASE_ACCESS_REMOVAL_DANGER) {
            "$prefix: database $it"
        }
        val compareKinds = { old: KindConfiguration, new: KindConfiguration -> kindChanges(prefix, old, new) }
        val kinds = compare(before.kinds, after.kinds, { it.name }, KIND_REMOVAL_DANGER, compareKinds) {
            "$prefix: kind ${it.name}"
        }
        return key + databases + kinds
    }

    private fun kindChanges(
        team: String,
        before: KindConfiguration,
        after: KindConfiguration,
    ): List<ConfigurationChange> {
        val prefix = "$team, kind ${after.name}"
        val repetitionDanger = IDEMPOTENT_REPETITION_DANGER.takeIf { after.repetition == Repetition.IDEMPOTENT }
        return listOfNotNull(
            fieldChange("$prefix: rank", before.rank.displayName(), after.rank.displayName()),
            fieldChange("$prefix: access", before.access.displayName(), after.access.displayName()),
            fieldChange("$prefix: purpose", before.purpose.displayName(), after.purpose.displayName()),
            fieldChange(
                "$prefix: repetition",
                before.repetition.displayName(),
                after.repetition.displayName(),
                repetitionDanger,
            ),
            fieldChange("$prefix: target", "${before.targetMillis} ms", "${after.targetMillis} ms"),
            fieldChange("$prefix: deadline", "${before.deadlineMillis} ms", "${after.deadlineMillis} ms"),
            fieldChange("$prefix: age", age(before), age(after)),
            fieldChange("$prefix: share", "${before.floorPercent} %", "${after.floorPercent} %"),
        )
    }

    private fun age(kind: KindConfiguration): String = kind.maximumAgeMillis?.let { "$it ms" } ?: "none"

    private fun Enum<*>.displayName(): String = name.lowercase().replace('_', '-')

    private fun fieldChange(label: String, before: Any, after: Any, danger: String? = null): ConfigurationChange? =
        if (before == after) null else ConfigurationChange("change $label from $before to $after", danger)

    private fun <T, K : Comparable<K>> compare(
        before: List<T>,
        after: List<T>,
        key: (T) -> K,
        removalDanger: String? = null,
        changed: (T, T) -> List<ConfigurationChange> = { _, _ -> emptyList() },
        describe: (T) -> String,
    ): List<ConfigurationChange> {
        val old = before.associateBy(key)
        val new = after.associateBy(key)
        return (old.keys + new.keys).sorted().flatMap { name ->
            val oldItem = old[name]
            val newItem = new[name]
            when {
                oldItem == null && newItem != null -> listOf(ConfigurationChange("add ${describe(newItem)}"))
                oldItem != null && newItem == null ->
                    listOf(ConfigurationChange("remove ${describe(oldItem)}", removalDanger))

                oldItem != null && newItem != null -> changed(oldItem, newItem)
                else -> emptyList()
            }
        }
    }

    private const val HASH_DIGITS = 12
    private const val DATABASE_REMOVAL_DANGER = "its callers are refused from then on"
    private const val TEAM_REMOVAL_DANGER = "its callers are refused from then on"
    private const val KIND_REMOVAL_DANGER = "requests of this kind are refused from then on"
    private const val MEMBER_REMOVAL_DANGER = "acknowledged writes are safe only if the other members hold them"
    private const val ADDRESS_CHANGE_DANGER = "the server at the new address must hold the member's log"
    private const val DATABASE_ACCESS_REMOVAL_DANGER = "the team's requests to it are refused from then on"
    private const val KEY_CHANGE_DANGER = "callers with the old key are refused from then on"
    private const val IDEMPOTENT_REPETITION_DANGER = "a retry may run the work twice"
}
