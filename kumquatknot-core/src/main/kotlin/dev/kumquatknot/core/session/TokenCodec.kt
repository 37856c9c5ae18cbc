package dev.kumquatknot.core.session

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.seal.MessageSeal
import dev.kumquatknot.core.seal.SealFailure
import java.io.ByteArrayOutputStream
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.IOException

/** Reason for which a session token is rejected. */
public sealed interface TokenFailure {
    /** Text for the caller. */
    public val detail: String

    /** The text exceeds the maximum length of a token. */
    public data object TooLarge : TokenFailure {
        override val detail: String = "the session token has more than $MAXIMUM_LENGTH characters"
    }

    /** The text is damaged or of an unknown version. */
    public data object Malformed : TokenFailure {
        override val detail: String = "the session token is damaged or of an unknown version"
    }

    /** The text was not issued by this fleet, or was changed. */
    public data object Forged : TokenFailure {
        override val detail: String = "the session token was not issued by this fleet"
    }

    /** The token was issued to another team. */
    public data object OtherTeam : TokenFailure {
        override val detail: String = "the session token belongs to another team"
    }

    private companion object {
        const val MAXIMUM_LENGTH = MessageSeal.DEFAULT_MAXIMUM_LENGTH
    }
}

/**
 * Encodes session tokens as authenticated text and decodes them.
 *
 * @param key current secret of at least 16 bytes, the same on every VM.
 * @param previousKey previous secret; tokens made with it stay valid while keys are rotated.
 */
public class TokenCodec(key: ByteArray, previousKey: ByteArray? = null) {
    private val seal = MessageSeal("session-token", key, previousKey)

    /** Encodes [token] as base64url text. */
    public fun encode(token: SessionToken): String {
        val bytes = ByteArrayOutputStream()
        DataOutputStream(bytes).use { it.writeToken(token) }
        return seal.seal(bytes.toByteArray())
    }

    /** Decodes [text] to its token if it was issued to [team]. */
    public fun decode(text: String, team: TeamName): Either<TokenFailure, SessionToken> =
        seal.open(text).mapLeft(::failureOf).flatMap(::parse).flatMap {
            if (it.team == team) it.right() else TokenFailure.OtherTeam.left()
        }

    private fun parse(payload: ByteArray): Either<TokenFailure, SessionToken> =
        Either.catchOrThrow<IOException, SessionToken> { DataInputStream(payload.inputStream()).readToken() }
            .mapLeft { TokenFailure.Malformed }

    private fun failureOf(failure: SealFailure): TokenFailure =
        when (failure) {
            SealFailure.TOO_LARGE -> TokenFailure.TooLarge
            SealFailure.MALFORMED -> TokenFailure.Malformed
            SealFailure.FORGED -> TokenFailure.Forged
        }

    private fun DataOutputStream.writeToken(token: SessionToken) {
        writeUTF(token.team.value)
        writeShort(token.points.size)
        token.points.toSortedMap().forEach { (database, point) ->
            writeUTF(database.value)
            writeLong(point.term.value)
            writeLong(point.position.value)
        }
        writeShort(token.unresolved.size)
        token.unresolved.sorted().forEach { writeUTF(it.value) }
    }

    private fun DataInputStream.readToken(): SessionToken {
        val team = TeamName(readUTF())
        val points =
            List(readUnsignedShort()) {
                DatabaseName(readUTF()) to HistoryPoint(Term(readLong()), LogPosition(readLong()))
            }
        val unresolved = List(readUnsignedShort()) { DatabaseName(readUTF()) }
        return SessionToken(team, points.toMap(), unresolved.toSet())
    }
}
