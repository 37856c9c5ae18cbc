package dev.kumquatknot.core.interactive

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.first
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class ConnectionStateSpec {
    private val plan = StatementPlan(StatementAccess.READ, "q2c")

    private fun ConnectionState.commandsFor(values: Map<String, String>, plan: StatementPlan? = null) =
        prepareFor(values, plan).commands

    @Nested
    inner class `values` {
        @Test
        fun `that the connection has are not set again`() {
            val memory = ConnectionState(mapOf("v" to "1"))
            expectThat(memory.commandsFor(mapOf("v" to "1"))).isEmpty()
        }

        @Test
        fun `that changed are set`() {
            val memory = ConnectionState(mapOf("v" to "1"))
            expectThat(memory.commandsFor(mapOf("v" to "2"))).isEqualTo(listOf(MemberCommand.SetValue("v", "2")))
        }

        @Test
        fun `of another session are cleared first`() {
            val memory = ConnectionState(mapOf("other" to "1"))
            expectThat(memory.commandsFor(emptyMap())).isEqualTo(listOf(MemberCommand.Reset))
        }

        @Test
        fun `are all set again on a connection whose state is uncertain`() {
            val memory = ConnectionState(mapOf("v" to "1"), uncertain = true)
            expectThat(memory.commandsFor(mapOf("v" to "1")))
                .isEqualTo(listOf(MemberCommand.Reset, MemberCommand.SetValue("v", "1")))
        }
    }

    @Nested
    inner class `plans` {
        @Test
        fun `are shared by what they do, whatever sessions call them`() {
            val after = ConnectionState().prepareFor(emptyMap(), plan).after
            expectThat(after.commandsFor(emptyMap(), StatementPlan(StatementAccess.READ, "q2c"))).isEmpty()
        }

        @Test
        fun `that read and write one shape are kept apart`() {
            expectThat(
                ConnectionState.planName(plan) == ConnectionState.planName(plan.copy(access = StatementAccess.WRITE)),
            )
                .isEqualTo(false)
        }

        @Test
        fun `are prepared again after a reset`() {
            val memory = ConnectionState(mapOf("other" to "1"), setOf(plan))
            expectThat(memory.commandsFor(emptyMap(), plan)).contains(MemberCommand.Prepare("r_q2c", plan))
        }

        @Test
        fun `beyond the most that a connection keeps reset it`() {
            val plans = (1..ConnectionState.MAXIMUM_PLANS).map { StatementPlan(StatementAccess.READ, "s$it") }.toSet()
            expectThat(
                ConnectionState(plans = plans).commandsFor(emptyMap(), plan),
            ).first().isEqualTo(MemberCommand.Reset)
        }
    }
}
