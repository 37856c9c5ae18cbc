package dev.kumquatknot.operations.today

import java.time.Instant

/** What the figures cover: [complete] where each live VM's newest figures are there. */
internal class Coverage(val complete: Boolean, val notes: List<String>) {
    companion object {
        private const val NAMED_VMS = 5

        fun of(context: DayContext): Coverage {
            val newest = context.totals.sources.groupBy { it.source.vm }
                .mapValues { (_, marks) -> Instant.ofEpochMilli(marks.maxOf { it.writtenAtMillis }) }
            val missing = context.liveVms.filter { it !in newest }.sorted()
            val oldest = context.now.minusMillis(context.staleAfter.inWholeMilliseconds)
            val late = newest.filter { (vm, time) -> vm in context.liveVms && time < oldest }.toSortedMap()
            val gone = newest.filter { (vm, _) -> vm !in context.liveVms }.toSortedMap()
            val notes = listOfNotNull(
                PLATFORM_SILENT.takeUnless { context.platformAnswered },
                "There are no figures yet from ${names(missing.map { "$it" })}.".takeIf { missing.isNotEmpty() },
                "Figures end early for ${names(late.map { (vm, time) -> "$vm at ${Wording.time(time)}" })}."
                    .takeIf { late.isNotEmpty() },
                "VMs that have left: ${names(gone.map { (vm, time) -> "$vm, last heard at ${Wording.time(time)}" })}. "
                    .plus("What one counted in its last ${Wording.duration(context.staleAfter)} may be missing.")
                    .takeIf { gone.isNotEmpty() },
            )
            return Coverage(context.platformAnswered && missing.isEmpty() && late.isEmpty(), notes)
        }

        private fun names(vms: List<String>): String =
            if (vms.size <= NAMED_VMS) {
                Wording.list(vms)
            } else {
                vms.take(NAMED_VMS).joinToString() + " and ${vms.size - NAMED_VMS} more"
            }

        private const val PLATFORM_SILENT =
            "The platform's store does not answer, so these are the figures of the VM that you asked alone."
    }
}
