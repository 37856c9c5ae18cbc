package dev.kumquatknot.core.admission

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RetryBudgetSpec {
    @Test
    fun `allows its capacity and then a fixed share of the successes`() {
        val budget = RetryBudget(successesPerRetry = 10, capacity = 10)
        val atFirst = (1..100).count { budget.trySpend() }
        repeat(50) { budget.recordSuccess() }
        val afterwards = (1..100).count { budget.trySpend() }
        expectThat(atFirst).isEqualTo(10)
        expectThat(afterwards).isEqualTo(5)
    }
}
