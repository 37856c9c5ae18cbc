package dev.kumquatknot.operations.today

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.dynatrace.hash4j.hashing.Hashing
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Keeps the figures of a day in the platform's object API.
 *
 * Each source owns the object `today/DATE/vm/GROUP/VM/START`. One VM of each group folds the group's objects into
 * `today/DATE/group/GROUP`; folding starts from the sources' objects each time, so that it may be repeated and
 * done by two VMs. Used by one thread at a time.
 */
public class SummaryStore(private val store: ObjectStore) {
    private val versions = mutableMapOf<String, ObjectVersion>()

    /** Writes [summary] over the source's earlier one and returns its size in bytes. */
    public fun write(summary: DaySummary): Either<StoreFailure, Int> =
        put(keyOf(summary), json.encodeToString(DaySummary.serializer(), summary))

    /** Folds the summaries of [group] into the object of the group and returns the number of bytes read. */
    public fun fold(date: String, group: Int): Either<StoreFailure, Int> =
        store.readAll("$ROOT/$date/vm/$group/").flatMap { objects ->
            val totals = fleetDay(objects).totals()
            put("$ROOT/$date/group/$group", json.encodeToString(DayTotals.serializer(), totals))
                .map { objects.sumOf { it.value.length } }
        }

    /** Reads the day of a fleet of [vms] in one call; [own] are the newer summaries of the node that asks, if any. */
    public fun read(date: String, vms: Int, own: FleetDay = FleetDay()): Either<StoreFailure, DayTotals> =
        if (vms <= SummaryPace.DIRECT_SOURCES) {
            store.readAll("$ROOT/$date/vm/").map { fleetDay(it).merge(own).totals() }
        } else {
            store.readAll("$ROOT/$date/group/").map { groups ->
                groups.mapNotNull { decode(DayTotals.serializer(), it) }.fold(DayTotals(), DayTotals::plus)
            }
        }

    private fun put(key: String, value: String): Either<StoreFailure, Int> {
        val expected = versions[key] ?: ObjectVersion.ABSENT
        val written = store.write(key, value, expected).fold(
            { failure -> retryOver(key, value, failure) },
            { it.right() },
        )
        return written.map { stored ->
            if (versions.size >= MAXIMUM_VERSIONS) versions.clear()
            versions[key] = stored.version
            value.length
        }
    }

    /** Writes over the version that a lost answer or an earlier fold left behind. */
    private fun retryOver(key: String, value: String, failure: StoreFailure): Either<StoreFailure, StoredObject> {
        if (failure !is StoreFailure.Conflict) return failure.left()
        return store.write(key, value, failure.current?.version ?: ObjectVersion.ABSENT)
    }

    private fun fleetDay(objects: List<StoredObject>): FleetDay =
        FleetDay.of(objects.mapNotNull { decode(DaySummary.serializer(), it) })

    private fun <T> decode(serializer: KSerializer<T>, found: StoredObject): T? =
        try {
            json.decodeFromString(serializer, found.value)
        } catch (_: SerializationException) {
            null
        }

    public companion object {
        private const val ROOT = "today"
        private const val MAXIMUM_VERSIONS = 100
        private val json = Json { ignoreUnknownKeys = true }

        /** Returns the group of [vm]. */
        public fun groupOf(vm: VmName): Int =
            Math.floorMod(Hashing.komihash5_0().hashCharsToLong(vm.value), SummaryPace.GROUPS)

        /** Returns the VM among [live] that folds [group], by rendezvous hashing; null without VMs. */
        public fun folderOf(group: Int, live: Collection<VmName>): VmName? =
            live.maxWithOrNull(
                compareBy<VmName> { Hashing.komihash5_0().hashCharsToLong("$it/$ROOT/$group") }.thenBy { it },
            )

        private fun keyOf(summary: DaySummary): String {
            val source = summary.source
            return "$ROOT/${summary.date}/vm/${groupOf(source.vm)}/${source.vm}/${source.startedAtMillis}"
        }
    }
}
