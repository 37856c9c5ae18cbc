package dev.kumquatknot.operations.today

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.operations.configuration.FaultInjectingStore
import dev.kumquatknot.operations.configuration.WriteFault
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isTrue
import kotlin.time.Duration.Companion.seconds

class SummaryStoreSpec {
    private val platform = FaultInjectingStore()
    private val store = SummaryStore(platform)

    private fun summary(vm: String, count: Int, sequence: Long = 1) =
        SampleDays.summary(
            vm,
            listOf(SampleDays.kind("counter", "book-costume", SampleDays.served(count, count))),
            sequence,
        )

    private fun completed(totals: DayTotals?): Long? = totals?.kinds?.sumOf { it.figures.completed }

    @Nested
    inner class `a small fleet` {
        @Test
        fun `is read from the summaries themselves`() {
            store.write(summary("entry-1", 3))
            store.write(summary("entry-1", 5, sequence = 2))
            store.write(summary("entry-2", 2))
            expectThat(completed(store.read(SampleDays.DATE, 2).getOrNull())).isEqualTo(7)
        }

        @Test
        fun `keeps the figures of a VM that has left`() {
            store.write(summary("entry-1", 3))
            expectThat(completed(SummaryStore(platform).read(SampleDays.DATE, 2).getOrNull())).isEqualTo(3)
        }

        @Test
        fun `accepts the next write after a lost answer`() {
            platform.faults += WriteFault.LOST_AFTER
            expectThat(store.write(summary("entry-1", 3)).isLeft()).isTrue()
            store.write(summary("entry-1", 4, sequence = 2))
            expectThat(completed(store.read(SampleDays.DATE, 2).getOrNull())).isEqualTo(4)
        }
    }

    @Nested
    inner class `a large fleet` {
        private val vms = (1..100).map { VmName("entry-$it") }

        @Test
        fun `is read from the aggregates of the VM groups, also when two VMs aggregate the same group`() {
            vms.forEach { store.write(summary(it.value, 2)) }
            (0 until SummarySchedule.VM_GROUPS).forEach { store.aggregate(SampleDays.DATE, it) }
            (0 until SummarySchedule.VM_GROUPS).forEach { SummaryStore(platform).aggregate(SampleDays.DATE, it) }
            expectThat(completed(store.read(SampleDays.DATE, vms.size).getOrNull())).isEqualTo(200)
        }

        @Test
        fun `distributes the aggregation over many VMs`() {
            val aggregators = (0 until SummarySchedule.VM_GROUPS).map { SummaryStore.aggregatorOf(it, vms) }.distinct()
            expectThat(aggregators.size).isGreaterThan(SummarySchedule.VM_GROUPS / 2)
        }
    }

    @Nested
    inner class `the write interval at 620 VMs` {
        @Test
        fun `limits the fleet to ten writes a second`() {
            expectThat(SummarySchedule.writeInterval(620, 20_000)).isEqualTo(62.seconds)
        }

        @Test
        fun `limits a node with summaries of 500 KB to its byte rate`() {
            expectThat(500_000 / SummarySchedule.writeInterval(620, 500_000).inWholeSeconds).isLessThan(2_001)
        }
    }

    @Nested
    inner class `an object that is no summary` {
        @Test
        fun `is ignored`() {
            platform.write("today/${SampleDays.DATE}/vm/1/x/1", "hello", ObjectVersion.ABSENT)
            store.write(summary("entry-1", 3))
            expectThat(store.read(SampleDays.DATE, 2).getOrNull()?.sources.orEmpty()).hasSize(1)
        }
    }
}
