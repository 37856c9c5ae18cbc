package dev.kumquatknot.operations.today

import java.time.Instant

/**
 * Completeness of the figures of a day.
 *
 * @property complete whether the platform answered and holds figures of every live VM that are not stale.
 * @property notes sentences on missing and stale figures.
 */
internal class Coverage(val complete: Boolean, val notes: List<String>) {
    companion object {
        private const val MAXIMUM_NAMED_VMS = 5

        fun of(context: DayContext): Coverage {
            val newest = context.totals.sources.groupBy { it.source.vm }
                .mapValues { (_, progress) -> Instant.ofEpochMilli(progress.maxOf { it.writtenAtMillis }) }
            val missing = context.liveVms.filter { it !in newest }.sorted()
            val oldest = context.now.minusMillis(context.staleAfter.inWholeMilliseconds)
            val stale = newest.filter { (vm, time) -> vm in context.liveVms && time < oldest }.toSortedMap()
            val departed = newest.filter { (vm, _) -> vm !in context.liveVms }.toSortedMap()
            val notes = listOfNotNull(
                PLATFORM_UNAVAILABLE.takeUnless { context.platformAnswered },
                "There are no figures yet from ${names(missing.map { "$it" })}.".takeIf { missing.isNotEmpty() },
                "Figures end early for ${names(stale.map { (vm, time) -> "$vm at ${FigureFormat.time(time)}" })}."
                    .takeIf { stale.isNotEmpty() },
                "VMs that have left: ${names(
                    departed.map { (vm, time) ->
                        "$vm, last heard at ${FigureFormat.time(time)}"
                    },
                )}. "
                    .plus("What one counted in its last ${FigureFormat.duration(context.staleAfter)} may be missing.")
                    .takeIf { departed.isNotEmpty() },
            )
            return Coverage(context.platformAnswered && missing.isEmpty() && stale.isEmpty(), notes)
        }

        private fun names(vms: List<String>): String =
            if (vms.size <= MAXIMUM_NAMED_VMS) {
                FigureFormat.list(vms)
            } else {
                vms.take(MAXIMUM_NAMED_VMS).joinToString() + " and ${vms.size - MAXIMUM_NAMED_VMS} more"
            }

        private const val PLATFORM_UNAVAILABLE =
            "The platform's store does not answer, so these are the figures of the VM that you asked alone."
    }
}
