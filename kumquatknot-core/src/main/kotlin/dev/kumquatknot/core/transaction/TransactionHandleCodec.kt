package dev.kumquatknot.core.transaction

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.request.TransactionHandle
import dev.kumquatknot.core.seal.MessageSeal
import dev.kumquatknot.core.seal.SealFailure
import java.io.ByteArrayOutputStream
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.IOException

/** Reference to an interactive transaction: the VM that holds it, and its team, kind and database. */
public data class TransactionReference(
    val team: TeamName,
    val database: DatabaseName,
    val kind: KindName,
    val handle: TransactionHandle,
)

/** Reason for which a transaction handle is rejected. */
public sealed interface HandleFailure {
    /** Text for the caller. */
    public val detail: String

    /** The text exceeds the maximum length of a handle. */
    public data object TooLarge : HandleFailure {
        override val detail: String = "the transaction handle is longer than $MAXIMUM_LENGTH characters"
    }

    /** The text is damaged or of an unknown version. */
    public data object Malformed : HandleFailure {
        override val detail: String = "the transaction handle is damaged or of an unknown version"
    }

    /** The text was not issued by this fleet, or was changed. */
    public data object Forged : HandleFailure {
        override val detail: String = "the transaction handle was not issued by this fleet"
    }

    /** The handle was issued to another team. */
    public data object OtherTeam : HandleFailure {
        override val detail: String = "the transaction handle belongs to another team"
    }

    private companion object {
        const val MAXIMUM_LENGTH = TransactionHandleCodec.MAXIMUM_LENGTH
    }
}

/**
 * Encodes transaction handles as authenticated text and decodes them.
 *
 * @param key current secret of at least 16 bytes, the same on every VM.
 * @param previousKey previous secret; handles made with it stay valid while keys are rotated.
 */
public class TransactionHandleCodec(key: ByteArray, previousKey: ByteArray? = null) {
    private val seal = MessageSeal("transaction-handle", key, previousKey, MAXIMUM_LENGTH)

    /** Encodes [reference] as base64url text. */
    public fun encode(reference: TransactionReference): String {
        val bytes = ByteArrayOutputStream()
        DataOutputStream(bytes).use {
            it.writeUTF(reference.team.value)
            it.writeUTF(reference.database.value)
            it.writeUTF(reference.kind.value)
            it.writeUTF(reference.handle.vm.value)
            it.writeLong(reference.handle.number)
        }
        return seal.seal(bytes.toByteArray())
    }

    /** Decodes [text] to its transaction reference if it was issued to [team]. */
    public fun decode(text: String, team: TeamName): Either<HandleFailure, TransactionReference> =
        seal.open(text).mapLeft(::failureOf).flatMap(::parse).flatMap {
            if (it.team == team) it.right() else HandleFailure.OtherTeam.left()
        }

    private fun parse(payload: ByteArray): Either<HandleFailure, TransactionReference> =
        Either.catchOrThrow<IOException, TransactionReference> {
            with(DataInputStream(payload.inputStream())) {
                TransactionReference(
                    TeamName(readUTF()),
                    DatabaseName(readUTF()),
                    KindName(readUTF()),
                    TransactionHandle(VmName(readUTF()), readLong()),
                )
            }
        }.mapLeft { HandleFailure.Malformed }

    private fun failureOf(failure: SealFailure): HandleFailure =
        when (failure) {
            SealFailure.TOO_LARGE -> HandleFailure.TooLarge
            SealFailure.MALFORMED -> HandleFailure.Malformed
            SealFailure.FORGED -> HandleFailure.Forged
        }

    public companion object {
        /** Maximum length of a handle in characters. */
        public const val MAXIMUM_LENGTH: Int = 2_048
    }
}
