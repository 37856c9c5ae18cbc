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
    inner class `session variables` {
        @Test
        fun `that the connection already has are not set again`() {
            val state = ConnectionState(mapOf("v" to "1"))
            expectThat(state.commandsFor(mapOf("v" to "1"))).isEmpty()
        }

        @Test
        fun `that changed are set`() {
            val state = ConnectionState(mapOf("v" to "1"))
            expectThat(state.commandsFor(mapOf("v" to "2"))).isEqualTo(listOf(MemberCommand.SetValue("v", "2")))
        }

        @Test
        fun `of another session cause a reset`() {
            val state = ConnectionState(mapOf("other" to "1"))
            expectThat(state.commandsFor(emptyMap())).isEqualTo(listOf(MemberCommand.Reset))
        }

        @Test
        fun `are all set again on a connection whose state is uncertain`() {
            val state = ConnectionState(mapOf("v" to "1"), uncertain = true)
            expectThat(state.commandsFor(mapOf("v" to "1")))
                .isEqualTo(listOf(MemberCommand.Reset, MemberCommand.SetValue("v", "1")))
        }
    }

    @Nested
    inner class `plans` {
        @Test
        fun `are shared among sessions by their content`() {
            val after = ConnectionState().prepareFor(emptyMap(), plan).after
            expectThat(after.commandsFor(emptyMap(), StatementPlan(StatementAccess.READ, "q2c"))).isEmpty()
        }

        @Test
        fun `are prepared again after a reset`() {
            val state = ConnectionState(mapOf("other" to "1"), setOf(plan))
            expectThat(state.commandsFor(emptyMap(), plan)).contains(MemberCommand.Prepare(plan.sharedName, plan))
        }

        @Test
        fun `at the maximum number cause a reset`() {
            val plans = (1..ConnectionState.MAXIMUM_PLANS).map { StatementPlan(StatementAccess.READ, "s$it") }.toSet()
            expectThat(
                ConnectionState(plans = plans).commandsFor(emptyMap(), plan),
            ).first().isEqualTo(MemberCommand.Reset)
        }
    }
}
