package dev.kumquatknot.operations.today

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.operations.configuration.ScriptedStore
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
    private val platform = ScriptedStore()
    private val store = SummaryStore(platform)

    private fun summary(vm: String, count: Int, sequence: Long = 1) =
        Days.summary(vm, listOf(Days.kind("counter", "book-costume", Days.served(count, count))), sequence)

    private fun completed(totals: DayTotals?): Long? = totals?.kinds?.sumOf { it.figures.completed }

    @Nested
    inner class `a small fleet` {
        @Test
        fun `is read from the summaries themselves`() {
            store.write(summary("entry-1", 3))
            store.write(summary("entry-1", 5, sequence = 2))
            store.write(summary("entry-2", 2))
            expectThat(completed(store.read(Days.DATE, 2).getOrNull())).isEqualTo(7)
        }

        @Test
        fun `keeps the figures of a VM that is gone`() {
            store.write(summary("entry-1", 3))
            expectThat(completed(SummaryStore(platform).read(Days.DATE, 2).getOrNull())).isEqualTo(3)
        }

        @Test
        fun `gets over a lost answer`() {
            platform.faults += WriteFault.LOST_AFTER
            expectThat(store.write(summary("entry-1", 3)).isLeft()).isTrue()
            store.write(summary("entry-1", 4, sequence = 2))
            expectThat(completed(store.read(Days.DATE, 2).getOrNull())).isEqualTo(4)
        }
    }

    @Nested
    inner class `a large fleet` {
        private val vms = (1..100).map { VmName("entry-$it") }

        @Test
        fun `is read from the groups, folded once or twice`() {
            vms.forEach { store.write(summary(it.value, 2)) }
            (0 until SummaryPace.GROUPS).forEach { store.fold(Days.DATE, it) }
            (0 until SummaryPace.GROUPS).forEach { SummaryStore(platform).fold(Days.DATE, it) }
            expectThat(completed(store.read(Days.DATE, vms.size).getOrNull())).isEqualTo(200)
        }

        @Test
        fun `divides the folding among many VMs`() {
            val folders = (0 until SummaryPace.GROUPS).map { SummaryStore.folderOf(it, vms) }.distinct()
            expectThat(folders.size).isGreaterThan(SummaryPace.GROUPS / 2)
        }
    }

    @Nested
    inner class `the pace at 620 VMs` {
        @Test
        fun `stays within ten writes a second`() {
            expectThat(SummaryPace.writeInterval(620, 20_000)).isEqualTo(62.seconds)
        }

        @Test
        fun `keeps a summary of 500 KB below the bytes that a node may spend`() {
            expectThat(500_000 / SummaryPace.writeInterval(620, 500_000).inWholeSeconds).isLessThan(2_001)
        }
    }

    @Nested
    inner class `an object that is no summary` {
        @Test
        fun `is left out`() {
            platform.write("today/${Days.DATE}/vm/1/x/1", "hello", ObjectVersion.ABSENT)
            store.write(summary("entry-1", 3))
            expectThat(store.read(Days.DATE, 2).getOrNull()?.sources.orEmpty()).hasSize(1)
        }
    }
}
