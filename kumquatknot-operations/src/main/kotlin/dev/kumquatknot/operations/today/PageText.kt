package dev.kumquatknot.operations.today

import java.time.Instant
import kotlin.time.Duration.Companion.milliseconds

/** Texts that both layouts of today's page share. */
internal object PageText {
    const val NOT_APPLICABLE: String = "–"

    /** Returns the figures of a table's row in the order of its columns. */
    fun cells(row: ServiceRow): List<String> =
        listOf(
            row.name,
            row.rank?.name?.lowercase() ?: NOT_APPLICABLE,
            Wording.count(row.served),
            row.withinTarget?.let(Wording::share) ?: NOT_APPLICABLE,
            row.median?.let(Wording::duration) ?: NOT_APPLICABLE,
            row.slowest?.let(Wording::duration) ?: NOT_APPLICABLE,
            row.replicaShare?.let(Wording::share) ?: NOT_APPLICABLE,
            Wording.count(row.refused),
            Wording.count(row.unknown),
        )

    /** Returns one line about a change of primary. */
    fun failover(failover: FailoverFigures): String {
        val time = Wording.time(Instant.ofEpochMilli(failover.atMillis))
        val gap = Wording.duration(failover.gapMillis.milliseconds)
        return "$time UTC: ${failover.database} got a new primary in term ${failover.term} after $gap without service"
    }
}
