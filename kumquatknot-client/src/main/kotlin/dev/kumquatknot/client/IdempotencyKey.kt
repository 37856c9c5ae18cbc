package dev.kumquatknot.client

import java.util.UUID

/**
 * Key that makes work run at most once: 1 to 255 visible ASCII characters, unique within team and database group. Store
 * it with the order or booking that it belongs to, so that a restarted caller uses the same key again.
 */
@JvmInline
public value class IdempotencyKey(public val value: String) {
    init {
        require(value.length in 1..MAXIMUM_LENGTH && value.all { it in '!'..'~' }) {
            "an idempotency key has 1 to $MAXIMUM_LENGTH visible ASCII characters"
        }
    }

    override fun toString(): String = value

    public companion object {
        private const val MAXIMUM_LENGTH = 255

        /** Returns a key made of a random UUID. */
        public fun random(): IdempotencyKey = IdempotencyKey(UUID.randomUUID().toString())
    }
}
