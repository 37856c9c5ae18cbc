package dev.kumquatknot.operations.today

import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.VmName
import kotlinx.serialization.Serializable

/**
 * Source of figures: one start of the node on one VM. A restarted node is another source, so that what it counted
 * before stays.
 *
 * @property startedAtMillis start of the node in milliseconds since the Unix epoch.
 */
@Serializable
public data class SummarySource(val vm: VmName, val startedAtMillis: Long) : Comparable<SummarySource> {
    override fun compareTo(other: SummarySource): Int = compareValuesBy(this, other, { it.vm }, { it.startedAtMillis })
}

/**
 * A change of primary.
 *
 * @property gapMillis time from the last answer of the old primary to the first of the new one, in milliseconds.
 * @property atMillis when it ended, in milliseconds since the Unix epoch.
 */
@Serializable
public data class FailoverFigures(val database: DatabaseName, val term: Long, val gapMillis: Long, val atMillis: Long)

/**
 * What one source counted on one day so far. A later summary of the same source holds all that the earlier one did.
 *
 * @property date calendar day in UTC, such as `2027-03-01`.
 * @property sequence grows with each summary of the source.
 * @property writtenAtMillis when the summary was made, in milliseconds since the Unix epoch.
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

/** How far the figures of one source reach. */
@Serializable
public data class SourceMark(val source: SummarySource, val sequence: Long, val writtenAtMillis: Long)

/**
 * Summaries of one day by source. Merging is associative, commutative and idempotent: of two summaries of the same
 * source the later one counts.
 */
public data class FleetDay(val summaries: Map<SummarySource, DaySummary> = emptyMap()) {
    /** Returns the later summary of each source. */
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
                SourceMark(it.source, it.sequence, it.writtenAtMillis)
            }.sortedBy { it.source },
            kinds = sumKinds(summaries.values.sortedBy { it.source }.flatMap { it.kinds }),
            failovers = distinctFailovers(summaries.values.flatMap { it.failovers }),
        )

    public companion object {
        /** Returns the day with [summaries] merged in any order. */
        public fun of(summaries: Iterable<DaySummary>): FleetDay =
            summaries.fold(FleetDay()) { day, summary -> day.merge(FleetDay(mapOf(summary.source to summary))) }
    }
}

/** Figures of one day, summed over the [sources]. Sums of disjoint sources add up. */
@Serializable
public data class DayTotals(
    val sources: List<SourceMark> = emptyList(),
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
        KindEntry(identity, same.map { it.figures }.reduce(KindFigures::plus))
    }

/** Several VMs may have seen the same change of primary; the longest gap counts. */
private fun distinctFailovers(failovers: List<FailoverFigures>): List<FailoverFigures> =
    failovers.groupBy { it.database to it.term }.values
        .map { same -> same.maxBy { it.gapMillis } }
        .sortedWith(compareBy({ it.atMillis }, { it.database }, { it.term }))
