package dev.kumquatknot.operations.today

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.time.Clock
import kotlin.time.Duration

/**
 * Writes the figures of one node at the intervals of [SummarySchedule]. A failed write loses nothing, since summaries
 * are cumulative.
 *
 * @param liveVms the live VMs of the proxy as observed by this node.
 * @param report called with each failure of a call to the platform.
 */
public class SummaryPublisher(
    private val vm: VmName,
    private val recorder: DayRecorder,
    private val store: SummaryStore,
    private val clock: Clock,
    private val liveVms: () -> Set<VmName>,
    private val report: (StoreFailure) -> Unit,
) {
    private val nextAggregations = mutableMapOf<Int, Duration>()

    /** Writes the summaries, aggregates the VM groups assigned to this VM, and returns the time to the next call. */
    public fun publish(): Duration {
        val liveVmsWithSelf = liveVms() + vm
        val bytes = recorder.summaries().sumOf { summary -> store.write(summary).fold({ reportFailure(it) }, { it }) }
        if (liveVmsWithSelf.size > SummarySchedule.DIRECT_SOURCES) aggregateDueGroups(liveVmsWithSelf)
        return SummarySchedule.writeInterval(liveVmsWithSelf.size, bytes)
    }

    private fun aggregateDueGroups(liveVmsWithSelf: Set<VmName>) {
        val now = clock.elapsed()
        val date = DayRecorder.dateOf(clock.instant())
        for (vmGroup in 0 until SummarySchedule.VM_GROUPS) {
            val due = now >= (nextAggregations[vmGroup] ?: now)
            if (!due || SummaryStore.aggregatorOf(vmGroup, liveVmsWithSelf) != vm) continue
            val bytes = store.aggregate(date, vmGroup).fold({ reportFailure(it) }, { it })
            nextAggregations[vmGroup] = now + SummarySchedule.aggregationInterval(liveVmsWithSelf.size, bytes)
        }
    }

    private fun reportFailure(failure: StoreFailure): Int {
        report(failure)
        return 0
    }
}
