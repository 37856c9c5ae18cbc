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
 * Stores the figures of a day in the platform's object API.
 *
 * Each source owns the object `today/DATE/vm/GROUP/VM/START`. One VM aggregates the objects of each VM group into
 * `today/DATE/group/GROUP`. Aggregation always starts from the objects of the sources, so it is idempotent and may be
 * done by two VMs at once. Not thread-safe.
 */
public class SummaryStore(private val store: ObjectStore) {
    private val versions = mutableMapOf<String, ObjectVersion>()

    /** Replaces the earlier summary of the source by [summary] and returns the length of its JSON text. */
    public fun write(summary: DaySummary): Either<StoreFailure, Int> =
        writeObject(keyOf(summary), json.encodeToString(DaySummary.serializer(), summary))

    /** Aggregates the summaries of [vmGroup] into the object of the group and returns the number of bytes read. */
    public fun aggregate(date: String, vmGroup: Int): Either<StoreFailure, Int> =
        store.readAll("$ROOT/$date/vm/$vmGroup/").flatMap { objects ->
            val totals = fleetDay(objects).totals()
            writeObject("$ROOT/$date/group/$vmGroup", json.encodeToString(DayTotals.serializer(), totals))
                .map { objects.sumOf { it.value.length } }
        }

    /** Reads the day of a fleet of [vms] in one call; [own] holds newer summaries of the reading node, if any. */
    public fun read(date: String, vms: Int, own: FleetDay = FleetDay()): Either<StoreFailure, DayTotals> =
        if (vms <= SummarySchedule.DIRECT_SOURCES) {
            store.readAll("$ROOT/$date/vm/").map { fleetDay(it).merge(own).totals() }
        } else {
            store.readAll("$ROOT/$date/group/").map { groups ->
                groups.mapNotNull { decode(DayTotals.serializer(), it) }.fold(DayTotals(), DayTotals::plus)
            }
        }

    private fun writeObject(key: String, value: String): Either<StoreFailure, Int> {
        val expected = versions[key] ?: ObjectVersion.ABSENT
        val written = store.write(key, value, expected).fold(
            { failure -> retryAfterConflict(key, value, failure) },
            { it.right() },
        )
        return written.map { stored ->
            if (versions.size >= MAXIMUM_CACHED_VERSIONS) versions.clear()
            versions[key] = stored.version
            value.length
        }
    }

    /** Retries a write whose expected version is outdated by a write with a lost answer or by another aggregation. */
    private fun retryAfterConflict(
        key: String,
        value: String,
        failure: StoreFailure,
    ): Either<StoreFailure, StoredObject> {
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
        private const val MAXIMUM_CACHED_VERSIONS = 100
        private val json = Json { ignoreUnknownKeys = true }

        /** Returns the VM group of [vm], by hash of its name. */
        public fun vmGroupOf(vm: VmName): Int =
            Math.floorMod(Hashing.komihash5_0().hashCharsToLong(vm.value), SummarySchedule.VM_GROUPS)

        /** Returns the VM among [live] that aggregates [vmGroup], by rendezvous hashing; null without VMs. */
        public fun aggregatorOf(vmGroup: Int, live: Collection<VmName>): VmName? =
            live.maxWithOrNull(
                compareBy<VmName> { Hashing.komihash5_0().hashCharsToLong("$it/$ROOT/$vmGroup") }.thenBy { it },
            )

        private fun keyOf(summary: DaySummary): String {
            val source = summary.source
            return "$ROOT/${summary.date}/vm/${vmGroupOf(source.vm)}/${source.vm}/${source.startedAtMillis}"
        }
    }
}
