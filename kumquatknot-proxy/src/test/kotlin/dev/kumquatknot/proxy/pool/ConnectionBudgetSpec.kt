package dev.kumquatknot.proxy.pool

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class ConnectionBudgetSpec {
    private val interval = 800.milliseconds

    /** Figures of one VM: the share of the time with an idle connection, and the share of uses that find one. */
    private class Figures(val heldShare: Double, val foundShare: Double)

    /** Plays Poisson uses of a member by one VM that keeps an idle connection for [keepTime]. */
    private fun play(keepTime: Duration): Figures {
        val random = Random(SEED)
        var held = Duration.ZERO
        var found = 0
        var uses = 0
        var now = Duration.ZERO
        while (now < LOAD_TIME) {
            val gap = interval * -ln(1 - random.nextDouble())
            held += minOf(gap, keepTime)
            if (gap <= keepTime) found++
            uses++
            now += gap
        }
        return Figures(held / now, found.toDouble() / uses)
    }

    @Nested
    inner class `more VMs than a member takes connections` {
        private val budget = ConnectionBudget(maximum = 46, vms = 58)

        @Test
        fun `leave three tenths of the connections to VMs that need several, if all are used alike`() {
            val held = play(budget.keepTime(interval)).heldShare * budget.vms
            expectThat(held).isLessThan(budget.maximum * 0.73)
            expectThat(held).isGreaterThan(budget.maximum * 0.67)
        }

        @Test
        fun `find an idle connection more often than with one short time for all`() {
            val oneTime = play(250.milliseconds).foundShare
            expectThat(play(budget.keepTime(interval)).foundShare).isGreaterThan(oneTime * 1.5)
        }

        @Test
        fun `keep connections for a shorter time under more load`() {
            expectThat(budget.keepTime(interval / 2)).isLessThan(budget.keepTime(interval))
        }
    }

    @Nested
    inner class `fewer VMs than a member takes connections` {
        @Test
        fun `keep their connections`() {
            expectThat(ConnectionBudget(maximum = 46, vms = 20).keepTime(1.seconds)).isEqualTo(Duration.INFINITE)
        }
    }

    private companion object {
        const val SEED = 19L
        val LOAD_TIME = 60.minutes
    }
}
