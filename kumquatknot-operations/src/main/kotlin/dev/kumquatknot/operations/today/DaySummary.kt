package dev.kumquatknot.operations.today

import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.VmName
import kotlinx.serialization.Serializable

/**
 * Source of figures: one run of the node on one VM. A restarted node is a new source, so that its earlier counts are
 * kept.
 *
 * @property startedAtMillis start of the node in milliseconds since the Unix epoch.
 */
@Serializable
public data class SummarySource(val vm: VmName, val startedAtMillis: Long) : Comparable<SummarySource> {
    override fun compareTo(other: SummarySource): Int = compareValuesBy(this, other, { it.vm }, { it.startedAtMillis })
}

/**
 * A failover of a database group.
 *
 * @property gapMillis time from the last answer of the old primary to the first of the new one, in milliseconds.
 * @property atMillis time at which it ended, in milliseconds since the Unix epoch.
 */
@Serializable
public data class FailoverFigures(val database: DatabaseName, val term: Long, val gapMillis: Long, val atMillis: Long)

/**
 * Cumulative counts of one source on one day. A later summary of the same source includes all earlier ones.
 *
 * @property date calendar day in UTC, such as `2027-03-01`.
 * @property sequence increases with each summary of the source.
 * @property writtenAtMillis time at which the summary was created, in milliseconds since the Unix epoch.
 */
@Serializable
public data class DaySummary(
    val source: SummarySource,
    val date: String,
    val sequence: Long,
    val writtenAtMillis: Long,
    val kinds: List<KindEntry>,
    val failovers: List<FailoverFigures> = emptyList(),
)

/** Sequence and time of the latest summary of a source that is included in a total. */
@Serializable
public data class SourceProgress(val source: SummarySource, val sequence: Long, val writtenAtMillis: Long)

/**
 * Summaries of one day by source. Merging is associative, commutative and idempotent: of two summaries of the same
 * source it keeps the later one.
 */
public data class FleetDay(val summaries: Map<SummarySource, DaySummary> = emptyMap()) {
    /** Returns the union of both with the later summary of each source. */
    public fun merge(other: FleetDay): FleetDay =
        FleetDay(
            (summaries.keys + other.summaries.keys).associateWith { source ->
                listOfNotNull(summaries[source], other.summaries[source]).maxBy { it.sequence }
            },
        )

    /** Returns the sum over all sources. */
    public fun totals(): DayTotals =
        DayTotals(
            sources = summaries.values.map {
                SourceProgress(it.source, it.sequence, it.writtenAtMillis)
            }.sortedBy { it.source },
            kinds = sumKinds(summaries.values.sortedBy { it.source }.flatMap { it.kinds }),
            failovers = distinctFailovers(summaries.values.flatMap { it.failovers }),
        )

    public companion object {
        /** Returns the day with [summaries] merged; their order does not matter. */
        public fun of(summaries: Iterable<DaySummary>): FleetDay =
            summaries.fold(FleetDay()) { day, summary -> day.merge(FleetDay(mapOf(summary.source to summary))) }
    }
}

/** Figures of one day, summed over the [sources]. Totals of disjoint sources can be added. */
@Serializable
public data class DayTotals(
    val sources: List<SourceProgress> = emptyList(),
    val kinds: List<KindEntry> = emptyList(),
    val failovers: List<FailoverFigures> = emptyList(),
) {
    /** Returns the sum of both, which must have no source in common. */
    public operator fun plus(other: DayTotals): DayTotals =
        DayTotals(
            (sources + other.sources).sortedBy { it.source },
            sumKinds(kinds + other.kinds),
            distinctFailovers(failovers + other.failovers),
        )
}

private fun sumKinds(entries: List<KindEntry>): List<KindEntry> =
    entries.groupBy { it.identity }.toSortedMap().map { (identity, same) ->
        KindEntry(identity, same.map { it.figures }.reduce(KindStatistics::plus))
    }

/** Several VMs may report the same failover; the report with the longest gap is kept. */
private fun distinctFailovers(failovers: List<FailoverFigures>): List<FailoverFigures> =
    failovers.groupBy { it.database to it.term }.values
        .map { same -> same.maxBy { it.gapMillis } }
        .sortedWith(compareBy({ it.atMillis }, { it.database }, { it.term }))
