package dev.kumquatknot.core.interactive

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.Codepoint
import io.kotest.property.arbitrary.az
import io.kotest.property.arbitrary.choice
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.map
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasLength
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.matches

class StatementPlanSpec {
    private fun read(shape: String) = StatementPlan(StatementAccess.READ, shape)

    private fun write(shape: String) = StatementPlan(StatementAccess.WRITE, shape)

    @Nested
    inner class `the shared name` {
        /** A shape with blanks once became a part of the name, and its words became other fields of the command. */
        @Test
        fun `is one word of a fixed length whatever the shape holds`(): Unit = runBlocking {
            checkAll(PropTestConfig(seed = SEED), shapes) { shape ->
                listOf(read(shape), write(shape)).forEach {
                    expectThat(it.sharedName).matches(WORD).hasLength(StatementPlan.SHARED_NAME_LENGTH)
                }
            }
        }

        @Test
        fun `differs between any two plans`(): Unit = runBlocking {
            checkAll(PropTestConfig(seed = SEED), shapes, shapes) { one, other ->
                expectThat(read(one).sharedName).isNotEqualTo(write(other).sharedName)
                if (one != other) expectThat(read(one).sharedName).isNotEqualTo(read(other).sharedName)
            }
        }

        @Test
        fun `differs between shapes that an encoding would replace or normalize`() {
            val shapes =
                listOf("?", "\ud800", "\udfff", "\ufffd", "\u00e9", "e\u0301", "\u00c3\u00a9", "", " ", "\u0000")
            expectThat(shapes.map { read(it).sharedName }.toSet()).hasSize(shapes.size)
        }

        @Test
        fun `differs between long shapes that differ at their end`() {
            val common = "q".repeat(LONG)
            expectThat(read(common + "1").sharedName).isNotEqualTo(read(common + "2").sharedName)
        }

        @Test
        fun `is the same for equal plans, so that sessions share them`() {
            expectThat(read("q2c").sharedName).isEqualTo(read(String(charArrayOf('q', '2', 'c'))).sharedName)
        }
    }

    private companion object {
        const val SEED = 42L
        const val LONG = 1_000_000
        val WORD = Regex("[A-Za-z0-9_-]+")

        /** Shapes built from words of the protocol, blanks, line ends and any other characters. */
        val shapes: Arb<String> = Arb.choice(
            Arb.list(
                Arb.element("READ", "WRITE", "w_booking", "booking", " ", "  ", "\r", "\n", "-", "", "\u0000"),
                0..5,
            )
                .map { it.joinToString("") },
            Arb.string(0..40),
            Arb.string(0..3, Codepoint.az()),
        )
    }
}
