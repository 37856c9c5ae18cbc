package dev.kumquatknot.core.seal

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Reason for which a sealed text is rejected. */
public enum class SealFailure {
    /** The text is longer than the limit. */
    TOO_LARGE,

    /** The text is not canonical base64url, is too short, or has an unknown version. */
    MALFORMED,

    /** The authentication code matches neither key. */
    FORGED,
}

/**
 * Seals bytes as a text that callers store and send back but can neither forge nor change: a version, the bytes and a
 * truncated HMAC-SHA256 in base64url. The content is authenticated, not encrypted.
 *
 * @param purpose domain separation between kinds of sealed texts; a text of one purpose counts as forged for another.
 * @param key current secret of at least 16 bytes, the same on every VM; new texts are authenticated with it.
 * @param previousKey previous secret; texts sealed with it are still accepted while keys are rotated.
 * @param maximumLength maximum length in characters; longer texts are rejected without decoding.
 */
public class MessageSeal(
    private val purpose: String,
    key: ByteArray,
    previousKey: ByteArray? = null,
    private val maximumLength: Int = DEFAULT_MAXIMUM_LENGTH,
) {
    private val current = keyOf(key)
    private val keys = listOfNotNull(current, previousKey?.let(::keyOf))

    /** Returns the sealed text of [payload]. */
    public fun seal(payload: ByteArray): String {
        val content = byteArrayOf(VERSION) + payload
        return ENCODER.encodeToString(content + code(current, content))
    }

    /** Verifies [text] and returns the payload that it was sealed from. */
    public fun open(text: String): Either<SealFailure, ByteArray> =
        either {
            ensure(text.length <= maximumLength) { SealFailure.TOO_LARGE }
            val bytes = decode(text).bind()
            ensure(bytes.size > CODE_BYTES && bytes[0] == VERSION) { SealFailure.MALFORMED }
            val content = bytes.copyOf(bytes.size - CODE_BYTES)
            val code = bytes.copyOfRange(content.size, bytes.size)
            ensure(keys.map { MessageDigest.isEqual(code, code(it, content)) }.any { it }) { SealFailure.FORGED }
            content.copyOfRange(1, content.size)
        }

    private fun decode(text: String): Either<SealFailure, ByteArray> {
        val bytes = Either.catchOrThrow<IllegalArgumentException, ByteArray> { DECODER.decode(text) }.getOrNull()
        val canonical = bytes != null && ENCODER.encodeToString(bytes) == text
        return if (bytes != null && canonical) bytes.right() else SealFailure.MALFORMED.left()
    }

    private fun code(key: SecretKeySpec, content: ByteArray): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(key)
        mac.update(purpose.toByteArray())
        mac.update(SEPARATOR)
        return mac.doFinal(content).copyOf(CODE_BYTES)
    }

    private fun keyOf(key: ByteArray): SecretKeySpec {
        require(key.size >= MINIMUM_KEY_BYTES) {
            "the key has ${key.size} bytes, but at least $MINIMUM_KEY_BYTES are required"
        }
        return SecretKeySpec(key, ALGORITHM)
    }

    public companion object {
        /** Default maximum length of a sealed text in characters. */
        public const val DEFAULT_MAXIMUM_LENGTH: Int = 65_536

        /** Minimum key length in bytes. */
        public const val MINIMUM_KEY_BYTES: Int = 16

        private const val ALGORITHM = "HmacSHA256"
        private const val CODE_BYTES = 16
        private const val VERSION: Byte = 1
        private const val SEPARATOR: Byte = 0
        private val ENCODER = Base64.getUrlEncoder().withoutPadding()
        private val DECODER = Base64.getUrlDecoder()
    }
}
