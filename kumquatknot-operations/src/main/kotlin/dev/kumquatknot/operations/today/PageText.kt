package dev.kumquatknot.operations.today

import java.time.Instant
import kotlin.time.Duration.Companion.milliseconds

/** Texts that the HTML page and the terminal page share. */
internal object PageText {
    const val NOT_APPLICABLE: String = "–"

    /** Returns the cells of [row] in the order of the table's columns. */
    fun cells(row: ServiceRow): List<String> =
        listOf(
            row.name,
            row.rank?.name?.lowercase() ?: NOT_APPLICABLE,
            FigureFormat.count(row.served),
            row.withinTarget?.let(FigureFormat::share) ?: NOT_APPLICABLE,
            row.median?.let(FigureFormat::duration) ?: NOT_APPLICABLE,
            row.percentile99?.let(FigureFormat::duration) ?: NOT_APPLICABLE,
            row.replicaShare?.let(FigureFormat::share) ?: NOT_APPLICABLE,
            FigureFormat.count(row.refused),
            FigureFormat.count(row.unknown),
        )

    /** Returns one line that describes [failover]. */
    fun failover(failover: FailoverFigures): String {
        val time = FigureFormat.time(Instant.ofEpochMilli(failover.atMillis))
        val gap = FigureFormat.duration(failover.gapMillis.milliseconds)
        return "$time UTC: ${failover.database} got a new primary in term ${failover.term} after $gap without service"
    }
}
