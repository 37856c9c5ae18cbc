package dev.kumquatknot.operations.configuration

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.security.SecureRandom
import java.util.Base64

/**
 * Keys that sign session tokens.
 *
 * @property number grows by one with each rotation.
 * @property current signs new tokens; 32 random bytes in Base64.
 * @property previous still verifies tokens that were signed before the last rotation; null before the first rotation.
 */
@Serializable
public data class SessionKeys(val number: Long, val current: String, val previous: String? = null) {
    override fun toString(): String = "SessionKeys(number=$number)"
}

/**
 * Why the session keys could not be read or changed.
 *
 * @property effectKnown false if a write may have taken effect although it got no answer.
 */
public data class SessionKeyFailure(val detail: String, val effectKnown: Boolean = true)

/** Stores the session keys in the platform's object API. Existing keys are never overwritten, only rotated. */
public class SessionKeyStore(
    private val store: ObjectStore,
    private val randomBytes: (Int) -> ByteArray = { size -> ByteArray(size).also(SecureRandom()::nextBytes) },
) {
    /** Returns the keys in force; null if none were created yet. */
    public fun read(): Either<SessionKeyFailure, SessionKeys?> =
        store.read(STORE_KEY).mapLeft { it.toKeyFailure() }.flatMap { it?.let(::decode) ?: null.right() }

    /** Returns the keys in force and creates the first ones if there are none. */
    public fun ensure(): Either<SessionKeyFailure, SessionKeys> =
        read().flatMap {
            it?.right() ?: write(SessionKeys(1, randomKey()), ObjectVersion.ABSENT, acceptConcurrentKeys = true)
        }

    /** Replaces the current key by a new one and keeps it as the previous key; the key before that is dropped. */
    public fun rotate(): Either<SessionKeyFailure, SessionKeys> =
        store.read(STORE_KEY).mapLeft { it.toKeyFailure() }.flatMap { found ->
            if (found == null) {
                ensure()
            } else {
                decode(found).flatMap { keys ->
                    val next = SessionKeys(keys.number + 1, randomKey(), keys.current)
                    write(next, found.version, acceptConcurrentKeys = false)
                }
            }
        }

    private fun write(
        keys: SessionKeys,
        expected: ObjectVersion,
        acceptConcurrentKeys: Boolean,
    ): Either<SessionKeyFailure, SessionKeys> =
        store.write(STORE_KEY, json.encodeToString(SessionKeys.serializer(), keys), expected).fold(
            { failure -> resolve(keys, failure, acceptConcurrentKeys) },
            { keys.right() },
        )

    private fun resolve(
        keys: SessionKeys,
        failure: StoreFailure,
        acceptConcurrentKeys: Boolean,
    ): Either<SessionKeyFailure, SessionKeys> {
        if (failure is StoreFailure.Refused) return failure.toKeyFailure().left()
        return read().mapLeft { SessionKeyFailure(it.detail, effectKnown = false) }.flatMap { found ->
            when {
                found == keys || found != null && acceptConcurrentKeys -> found.right()
                failure is StoreFailure.Conflict ->
                    SessionKeyFailure(
                        "store, platform: another operator rotated the keys first; nothing was changed",
                    ).left()

                else -> SessionKeyFailure(
                    "store, platform: no answer, so the keys may or may not have changed; try again",
                    effectKnown = false,
                ).left()
            }
        }
    }

    private fun decode(found: StoredObject): Either<SessionKeyFailure, SessionKeys> =
        try {
            json.decodeFromString(SessionKeys.serializer(), found.value).right()
        } catch (_: SerializationException) {
            SessionKeyFailure("read, platform: $STORE_KEY can't be decoded as session keys").left()
        } catch (_: IllegalArgumentException) {
            SessionKeyFailure("read, platform: $STORE_KEY can't be decoded as session keys").left()
        }

    private fun randomKey(): String = Base64.getEncoder().encodeToString(randomBytes(KEY_BYTES))

    private fun StoreFailure.toKeyFailure(): SessionKeyFailure =
        when (this) {
            is StoreFailure.Conflict -> SessionKeyFailure("store, platform: the keys were changed by another operator")
            is StoreFailure.Refused -> SessionKeyFailure("store, platform: $detail")
            is StoreFailure.NoAnswer -> SessionKeyFailure("store, platform: $detail")
        }

    public companion object {
        /** Name of the object that holds the session keys in the platform's object API. */
        public const val STORE_KEY: String = "keys/session"

        private const val KEY_BYTES = 32
        private val json = Json { ignoreUnknownKeys = true }
    }
}
