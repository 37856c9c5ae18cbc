package dev.kumquatknot.operations.today

import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.configuration.Rank
import kotlin.time.Duration.Companion.milliseconds

/** Service per kind and per rank. */
internal object ServiceTable {
    private const val MEDIAN = 0.5
    private const val NINETY_NINTH = 0.99

    fun byTeam(kinds: List<JudgedKind>): List<TeamReport> =
        kinds.groupBy { it.team }.toSortedMap().map { (team, own) ->
            TeamReport(team, own.sortedWith(compareBy({ it.answers?.rank }, { it.entry.identity })).map(::ofKind))
        }

    fun byRank(kinds: List<JudgedKind>): List<ServiceRow> =
        Rank.entries.mapNotNull { rank ->
            val same = kinds.filter { it.answers?.rank == rank }.map { it.figures }
            if (same.isEmpty()) {
                null
            } else {
                row(
                    "all ${rank.name.lowercase()} work",
                    rank,
                    same.reduce(KindFigures::plus),
                    null,
                )
            }
        }

    private fun ofKind(kind: JudgedKind): ServiceRow =
        row(kind.entry.identity.kind.value, kind.answers?.rank, kind.figures, kind.answers)

    private fun row(name: String, rank: Rank?, figures: KindFigures, answers: KindConfiguration?): ServiceRow {
        val reads = figures.primaryReads + figures.replicaReads
        return ServiceRow(
            name,
            rank,
            figures.served,
            if (figures.served == 0L) null else figures.withinTarget.toDouble() / figures.served,
            answers?.targetMillis?.milliseconds,
            figures.latencies.quantile(MEDIAN),
            figures.latencies.quantile(NINETY_NINTH),
            if (reads == 0L) null else figures.replicaReads.toDouble() / reads,
            figures.notRun,
            figures.openUnknown,
        )
    }
}
