package dev.kumquatknot.core.limit

import dev.kumquatknot.core.customer.LimitWindow
import dev.kumquatknot.core.customer.RateLimit
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Guards against parts of the budget that add up to more than the bound. */
class LimitBudgetSpec {
    private val limits = listOf(0.0, 0.5, 1.0, 4.0, 30.0, 400.0).flatMap { rate ->
        listOf(0.0, 1.0, 50.0, 1_000.0).map { RateLimit(rate, it) }
    }

    private val windows = listOf(1.0, 5.0, 60.0).flatMap { window ->
        listOf(0.0, 0.02, 0.1, 0.5).flatMap { overage ->
            listOf(0, 3, 20).map { LimitWindow(window.seconds, overage, it) }
        }
    }

    @Test
    fun `adds up to the bound, whatever the window, overage and slack`() {
        windows.forEach { window ->
            val budget = LimitBudget(window)
            limits.filter { budget.capacity(it) > 0 }.forEach { limit ->
                val time = (window.window + budget.tokenLife).toDouble(DurationUnit.SECONDS)
                val granted = budget.capacity(limit) + limit.operationsPerSecond * time
                expectThat(granted * (1 + budget.shareTolerance)).isLessThanOrEqualTo(budget.bound(limit) + 1e-6)
            }
        }
    }

    @Test
    fun `leaves the burst and most of the slack to the buckets by default, so that a third is several tokens`() {
        val budget = LimitBudget(LimitWindow(5.seconds, overage = 0.1, slack = 20))
        expectThat(budget.tokenLife).isEqualTo(250.milliseconds)
        limits.forEach { expectThat(budget.capacity(it)).isGreaterThanOrEqualTo(it.burst + 18) }
    }
}
