package dev.kumquatknot.standin.platform

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.VmState
import dev.kumquatknot.standin.database.ManualClock
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PlatformStandinSpec {
    private val clock = ManualClock()
    private val platform = PlatformStandin(PlatformStandinSettings(readsPerSecond = 20, writesPerSecond = 4), clock) {}

    @Nested
    inner class `a conditional write` {
        @Test
        fun `creates, updates and counts versions`() {
            expectThat(
                platform.write("a", "one", ObjectVersion.ABSENT).getOrNull()?.version,
            ).isEqualTo(ObjectVersion(1))
            expectThat(platform.write("a", "two", ObjectVersion(1)).getOrNull()?.version).isEqualTo(ObjectVersion(2))
            expectThat(platform.read("a").getOrNull()?.value).isEqualTo("two")
        }

        @Test
        fun `of another version conflicts and shows the current object`() {
            val current = platform.write("a", "one", ObjectVersion.ABSENT).getOrNull()
            expectThat(platform.write("a", "two", ObjectVersion.ABSENT).leftOrNull())
                .isEqualTo(StoreFailure.Conflict(current))
            expectThat(platform.write("b", "two", ObjectVersion(3)).leftOrNull()).isEqualTo(StoreFailure.Conflict(null))
            expectThat(platform.read("a").getOrNull()).isEqualTo(current)
        }

        @Test
        fun `above the size limit is refused`() {
            val outcome = platform.write("a", "é".repeat(524_289), ObjectVersion.ABSENT)
            expectThat(outcome.leftOrNull()).isA<StoreFailure.Refused>()
        }
    }

    @Nested
    inner class `a watch` {
        @Test
        fun `returns at once what is newer than known`() {
            platform.write("a", "one", ObjectVersion.ABSENT)
            expectThat(platform.watch("a", ObjectVersion.ABSENT, 5.seconds).getOrNull()?.value).isEqualTo("one")
        }

        @Test
        fun `returns nothing after its timeout`() {
            expectThat(platform.watch("a", ObjectVersion.ABSENT, 1.milliseconds).getOrNull()).isNull()
        }
    }

    @Nested
    inner class `the rates` {
        @Test
        fun `refuse what is too much for one second and recover`() {
            val outcomes = (0..4L).map { platform.write("a", "$it", ObjectVersion(it)) }
            expectThat(outcomes.map { it.isRight() }).containsExactly(true, true, true, true, false)
            expectThat(outcomes.last().leftOrNull()).isA<StoreFailure.Refused>()
            clock.advance(250.milliseconds)
            expectThat(platform.write("a", "5", ObjectVersion(4)).isRight()).isEqualTo(true)
        }

        @Test
        fun `count each call by its type`() {
            platform.write("a", "four", ObjectVersion.ABSENT)
            platform.read("a")
            platform.readAll("")
            platform.watch("a", ObjectVersion(1), 1.milliseconds)
            platform.vms()
            platform.set(PlatformFault.Refuse)
            platform.read("a")
            expectThat(platform.calls()).isEqualTo(
                PlatformCalls(
                    reads = 2,
                    lists = 1,
                    writes = 1,
                    watches = 1,
                    vmLists = 1,
                    refused = 1,
                    bytesIn = 4,
                    bytesOut = 8,
                ),
            )
        }
    }

    @Nested
    inner class `the fault switches` {
        @Test
        fun `refuse a change before its effect`() {
            platform.set(PlatformFault.Refuse)
            expectThat(platform.write("a", "one", ObjectVersion.ABSENT).leftOrNull()).isA<StoreFailure.Refused>()
            platform.set(PlatformFault.Heal)
            expectThat(platform.read("a").getOrNull()).isNull()
        }

        @Test
        fun `lose the answer of a change after its effect`() {
            platform.set(PlatformFault.LoseWriteAnswers(1))
            expectThat(platform.write("a", "one", ObjectVersion.ABSENT).leftOrNull()).isA<StoreFailure.NoAnswer>()
            expectThat(platform.read("a").getOrNull()?.value).isEqualTo("one")
            expectThat(platform.write("a", "two", ObjectVersion(1)).isRight()).isEqualTo(true)
        }

        @Test
        fun `give no answer in an outage`() {
            platform.set(PlatformFault.Outage)
            expectThat(platform.read("a").leftOrNull()).isA<StoreFailure.NoAnswer>()
            expectThat(platform.vms().leftOrNull()).isA<StoreFailure.NoAnswer>()
        }
    }

    @Nested
    inner class `the list of VMs` {
        private val entry = ListedVm(VmName("vm-1"), DataCentre("mendoza-a"), "127.0.0.1:1", VmState.LIVE)

        @Test
        fun `shows a change after its lag`() {
            platform.putVm(entry)
            expectThat(platform.vms().getOrNull().orEmpty()).isEmpty()
            clock.advance(2.seconds)
            expectThat(platform.vms().getOrNull().orEmpty()).containsExactly(entry)
            platform.putVm(entry.copy(state = VmState.LEAVING))
            clock.advance(1.seconds)
            platform.removeVm(entry.name)
            clock.advance(1.seconds)
            expectThat(platform.vms().getOrNull().orEmpty()).containsExactly(entry.copy(state = VmState.LEAVING))
            clock.advance(1.seconds)
            expectThat(platform.vms().getOrNull().orEmpty()).isEmpty()
        }
    }
}
