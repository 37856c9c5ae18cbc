package dev.kumquatknot.core.fleet

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FleetViewSpec {
    private val own = vm("own")
    private val other = vm("other")
    private val view = FleetView(own).apply { update(listOf(other, own)) }
    private var now = 100.seconds

    private fun vm(name: String, run: Long = 1, leaving: Boolean = false) =
        FleetVm(VmName(name), run, "10.0.0.1:9", DataCentre("a"), 1.0, leaving)

    private fun condition(name: String = "other") = view.conditionOf(checkNotNull(view[VmName(name)]), now)

    private fun suspicionAfterFailure(): Duration {
        view.recordFailure(other.name, now)
        val from = now
        while (condition() == VmCondition.SUSPECTED) now += 100.milliseconds
        return now - from
    }

    @Nested
    inner class `a VM that fails` {
        @Test
        fun `is suspected for a second, and twice as long after each further failure, up to 8 s`() {
            expectThat(List(6) { suspicionAfterFailure() }).containsExactly(1, 2, 4, 8, 8, 8)
        }

        @Test
        fun `is live again as soon as it answers, and the next failure counts as the first`() {
            repeat(3) { suspicionAfterFailure() }
            view.recordFailure(other.name, now)
            view.recordAnswer(other.name)
            expectThat(condition()).isEqualTo(VmCondition.LIVE)
            expectThat(suspicionAfterFailure()).isEqualTo(1.seconds)
        }

        @Test
        fun `is suspected once for all the requests that failed with its link`() {
            repeat(5) { view.recordFailure(other.name, now) }
            now += 1.seconds
            expectThat(condition()).isEqualTo(VmCondition.LIVE)
        }

        @Test
        fun `is not suspected when another process has its name`() {
            view.recordRun(other.name, 1)
            view.recordFailure(other.name, now)
            view.recordRun(other.name, 2)
            expectThat(condition()).isEqualTo(VmCondition.LIVE)
        }

        private fun strikt.api.Assertion.Builder<List<Duration>>.containsExactly(vararg seconds: Int) =
            containsExactly(seconds.map { it.seconds })
    }

    @Nested
    inner class `a VM that leaves` {
        @Test
        fun `is known from its registration`() {
            view.update(listOf(own, vm("other", leaving = true)))
            expectThat(condition()).isEqualTo(VmCondition.LEAVING)
        }

        @Test
        fun `is known from its announcement before the list tells`() {
            view.recordRun(other.name, 1)
            view.recordLeaving(other.name)
            view.update(listOf(own, other))
            expectThat(condition()).isEqualTo(VmCondition.LEAVING)
        }

        @Test
        fun `is live as soon as its next process connects, although the list still tells of the last one`() {
            view.recordLeaving(other.name)
            view.update(listOf(own, vm("other", run = 1, leaving = true)))
            expectThat(view.recordRun(other.name, 2)).isTrue()
            expectThat(condition()).isEqualTo(VmCondition.LIVE)
        }

        @Test
        fun `may be this one`() {
            view.leave()
            expectThat(condition("own")).isEqualTo(VmCondition.LEAVING)
        }
    }

    @Nested
    inner class `the list` {
        @Test
        fun `contains this VM before it is registered, which does not count`() {
            view.update(listOf(other))
            expectThat(view.vms).containsExactly(other, own)
            expectThat(view.size).isEqualTo(1)
        }

        @Test
        fun `has the revision of before if nothing changed`() {
            val revision = view.revision
            view.update(listOf(own, other))
            expectThat(view.revision).isEqualTo(revision)
        }

        @Test
        fun `is out of date if it lacks the process of a VM that connects`() {
            expectThat(view.recordRun(VmName("new"), 5)).isTrue()
            expectThat(view.recordRun(other.name, 1)).isFalse()
        }
    }
}
