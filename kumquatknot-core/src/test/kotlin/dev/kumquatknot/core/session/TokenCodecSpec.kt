package dev.kumquatknot.core.session

import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.transaction.TransactionHandleCodec
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.long
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo

class TokenCodecSpec {
    private val seed = System.getProperty("kumquatknot.seed")?.toLong() ?: 20_261_204L
    private val key = ByteArray(32) { it.toByte() }
    private val otherKey = ByteArray(32) { (it + 1).toByte() }
    private val codec = TokenCodec(key)
    private val pesebre = TeamName("pesebre")
    private val inventory = DatabaseName("inventory-1")
    private val token =
        SessionToken(pesebre, mapOf(inventory to HistoryPoint(Term(3), LogPosition(4711))), setOf(inventory))

    private val tokens =
        arbitrary {
            val names = Arb.list(Arb.string(0..30), 0..20).bind()
            val unresolved = names.take(Arb.int(0..3).bind()).map(::DatabaseName).toSet()
            val points =
                names.associate {
                    DatabaseName(it) to HistoryPoint(Term(Arb.long().bind()), LogPosition(Arb.long().bind()))
                }
            SessionToken(TeamName(Arb.string(0..30).bind()), points, unresolved)
        }

    @Nested
    inner class `round trip` {
        @Test
        fun `decodes every encoded token to an equal one`() {
            runBlocking {
                checkAll(PropTestConfig(seed = seed, iterations = 500), tokens) { token ->
                    expectThat(codec.decode(codec.encode(token), token.team)).isEqualTo(token.right())
                }
            }
        }

        @Test
        fun `encodes equal tokens as the same text`() {
            val reordered = token.copy(points = token.points.toSortedMap(reverseOrder()))
            expectThat(codec.encode(reordered)).isEqualTo(codec.encode(token))
        }

        @Test
        fun `keeps the token of one database short`() {
            expectThat(codec.encode(token).length).isLessThanOrEqualTo(110)
        }
    }

    @Nested
    inner class `rejected texts` {
        @Test
        fun `a text with any bit flipped is rejected`() {
            val text = codec.encode(token)
            text.indices.forEach { index ->
                repeat(7) { bit ->
                    val changed = text.toCharArray().also { it[index] = (it[index].code xor (1 shl bit)).toChar() }
                    expectThat(codec.decode(String(changed), pesebre).isLeft()).isEqualTo(true)
                }
            }
        }

        @Test
        fun `any truncated text is rejected`() {
            val text = codec.encode(token)
            text.indices.forEach { expectThat(codec.decode(text.take(it), pesebre).isLeft()).isEqualTo(true) }
        }

        @Test
        fun `random texts are rejected without an exception`() {
            runBlocking {
                checkAll(PropTestConfig(seed = seed, iterations = 2_000), Arb.string(0..200)) { text ->
                    expectThat(codec.decode(text, pesebre).isLeft()).isEqualTo(true)
                }
            }
        }

        @Test
        fun `a token of another key counts as forged`() {
            expectThat(codec.decode(TokenCodec(otherKey).encode(token), pesebre)).isEqualTo(TokenFailure.Forged.left())
        }

        @Test
        fun `a token of another team is rejected`() {
            expectThat(codec.decode(codec.encode(token), TeamName("nile")))
                .isEqualTo(TokenFailure.OtherTeam.left())
        }

        @Test
        fun `an oversized text is rejected without decoding`() {
            expectThat(codec.decode("A".repeat(70_000), pesebre)).isEqualTo(TokenFailure.TooLarge.left())
        }

        @Test
        fun `a token is not accepted as a transaction handle`() {
            expectThat(TransactionHandleCodec(key).decode(codec.encode(token), pesebre).isLeft()).isEqualTo(true)
        }
    }

    @Nested
    inner class `key rotation` {
        @Test
        fun `decodes texts of the previous key and encodes with the current one`() {
            val rotated = TokenCodec(otherKey, previousKey = key)
            expectThat(rotated.decode(codec.encode(token), pesebre)).isEqualTo(token.right())
            expectThat(rotated.encode(token)).isNotEqualTo(codec.encode(token))
        }

        @Test
        fun `a short key is rejected by the constructor`() {
            expectThrows<IllegalArgumentException> { TokenCodec(ByteArray(15)) }
        }
    }
}
