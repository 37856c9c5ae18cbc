package dev.kumquatknot.operations.today

import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.Rank
import kotlin.time.Duration.Companion.milliseconds

/** Builds the tables of today's page: one row for each rank, and one for each kind of work of a team. */
internal object ServiceTable {
    private const val MEDIAN = 0.5
    private const val NINETY_NINTH = 0.99

    fun byTeam(kinds: List<EvaluatedKind>): List<TeamReport> =
        kinds.groupBy { it.team }.toSortedMap().map { (team, own) ->
            TeamReport(team, own.sortedWith(compareBy({ it.configuration?.rank }, { it.entry.identity })).map(::ofKind))
        }

    fun byRank(kinds: List<EvaluatedKind>): List<ServiceRow> =
        Rank.entries.mapNotNull { rank ->
            val same = kinds.filter { it.configuration?.rank == rank }.map { it.figures }
            if (same.isEmpty()) {
                null
            } else {
                row(
                    "all ${rank.name.lowercase()} work",
                    rank,
                    same.reduce(KindStatistics::plus),
                    null,
                )
            }
        }

    private fun ofKind(kind: EvaluatedKind): ServiceRow =
        row(kind.entry.identity.kind.value, kind.configuration?.rank, kind.figures, kind.configuration)

    private fun row(name: String, rank: Rank?, figures: KindStatistics, configuration: KindConfiguration?): ServiceRow {
        val reads = figures.primaryReads + figures.replicaReads
        return ServiceRow(
            name,
            rank,
            figures.served,
            if (figures.served == 0L) null else figures.withinTarget.toDouble() / figures.served,
            configuration?.targetMillis?.milliseconds,
            figures.latencies.quantile(MEDIAN),
            figures.latencies.quantile(NINETY_NINTH),
            if (reads == 0L) null else figures.replicaReads.toDouble() / reads,
            figures.notRun,
            figures.openUnknown,
        )
    }
}
