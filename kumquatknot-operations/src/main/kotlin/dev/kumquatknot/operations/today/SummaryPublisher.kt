package dev.kumquatknot.operations.today

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.time.Clock
import kotlin.time.Duration

/**
 * Publishes the figures of one node at the pace of [SummaryPace]. A failed write loses nothing: the next summary holds
 * all that the failed one did.
 *
 * @param liveVms the VMs of the proxy as this node knows them, itself included.
 * @param report is told about a failed call to the platform.
 */
public class SummaryPublisher(
    private val vm: VmName,
    private val recorder: DayRecorder,
    private val store: SummaryStore,
    private val clock: Clock,
    private val liveVms: () -> Set<VmName>,
    private val report: (StoreFailure) -> Unit,
) {
    private val nextFolds = mutableMapOf<Int, Duration>()

    /** Writes the summaries, folds the groups that fall to this VM, and returns the time until the next call. */
    public fun publish(): Duration {
        val live = liveVms() + vm
        val bytes = recorder.summaries().sumOf { summary -> store.write(summary).fold({ failed(it) }, { it }) }
        if (live.size > SummaryPace.DIRECT_SOURCES) foldDue(live)
        return SummaryPace.writeInterval(live.size, bytes)
    }

    private fun foldDue(live: Set<VmName>) {
        val now = clock.elapsed()
        val date = DayRecorder.dateOf(clock.instant())
        for (group in 0 until SummaryPace.GROUPS) {
            val due = now >= (nextFolds[group] ?: now)
            if (!due || SummaryStore.folderOf(group, live) != vm) continue
            val bytes = store.fold(date, group).fold({ failed(it) }, { it })
            nextFolds[group] = now + SummaryPace.foldInterval(live.size, bytes)
        }
    }

    private fun failed(failure: StoreFailure): Int {
        report(failure)
        return 0
    }
}
