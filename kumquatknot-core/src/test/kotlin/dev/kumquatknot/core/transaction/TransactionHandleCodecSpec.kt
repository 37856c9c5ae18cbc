package dev.kumquatknot.core.transaction

import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.request.TransactionHandle
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class TransactionHandleCodecSpec {
    private val key = ByteArray(32) { it.toByte() }
    private val otherKey = ByteArray(32) { 7 }
    private val codec = TransactionHandleCodec(key)
    private val team = TeamName("nile")
    private val reference =
        TransactionReference(
            team,
            DatabaseName("courses-1"),
            KindName("enrol"),
            TransactionHandle(VmName("cairo-a-1"), Long.MAX_VALUE),
        )

    @Test
    fun `decodes an encoded reference to an equal one`() {
        expectThat(codec.decode(codec.encode(reference), team)).isEqualTo(reference.right())
    }

    @Test
    fun `decodes handles of the previous key`() {
        val rotated = TransactionHandleCodec(otherKey, previousKey = key)
        expectThat(rotated.decode(codec.encode(reference), team)).isEqualTo(reference.right())
    }

    @Nested
    inner class `rejected texts` {
        @Test
        fun `a text with any bit flipped is rejected`() {
            val text = codec.encode(reference)
            text.indices.forEach { index ->
                repeat(7) { bit ->
                    val changed = text.toCharArray().also { it[index] = (it[index].code xor (1 shl bit)).toChar() }
                    expectThat(codec.decode(String(changed), team).isLeft()).isEqualTo(true)
                }
            }
        }

        @Test
        fun `a handle of another team is rejected`() {
            expectThat(codec.decode(codec.encode(reference), TeamName("pesebre")))
                .isEqualTo(HandleFailure.OtherTeam.left())
        }

        @Test
        fun `a handle of another key counts as forged`() {
            expectThat(TransactionHandleCodec(otherKey).decode(codec.encode(reference), team))
                .isEqualTo(HandleFailure.Forged.left())
        }

        @Test
        fun `an oversized handle is rejected without decoding`() {
            expectThat(codec.decode("A".repeat(3_000), team)).isEqualTo(HandleFailure.TooLarge.left())
        }
    }
}
