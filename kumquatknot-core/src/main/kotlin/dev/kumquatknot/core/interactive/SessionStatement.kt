package dev.kumquatknot.core.interactive

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.Base64

/** Whether a statement only reads. */
public enum class StatementAccess {
    READ,
    WRITE,
}

/** A parsed statement of an interactive session. */
public sealed interface SessionStatement {
    /** Opens a transaction; one that is [readOnly] may run at a replica. */
    public data class Begin(val readOnly: Boolean) : SessionStatement

    /** Commits the open transaction; [text] is sent to the member unchanged. */
    public data class Commit(val text: String) : SessionStatement

    /** Rolls back the open transaction. */
    public data object Rollback : SessionStatement

    /** A statement for a member; [text] is sent unchanged. */
    public data class Run(val access: StatementAccess, val text: String) : SessionStatement

    /** Sets a session variable. */
    public data class SetValue(val name: String, val value: String) : SessionStatement

    /** Prepares [plan] under [name] for this session. */
    public data class Prepare(val name: String, val plan: StatementPlan) : SessionStatement

    /** Runs the plan called [name] with [arguments], which are sent to the member unchanged. */
    public data class Execute(val name: String, val arguments: String) : SessionStatement

    /** Removes the plan called [name]. */
    public data class Deallocate(val name: String) : SessionStatement

    /** Input that cannot be served as a statement; [detail] is the reason and [code] tells the caller its kind. */
    public data class Malformed(val detail: String, val code: RejectionCode = RejectionCode.MALFORMED) :
        SessionStatement
}

/** Content of a prepared statement; [shape] is opaque to the proxy. */
public data class StatementPlan(val access: StatementAccess, val shape: String) {
    /**
     * Name under which the plan is prepared on every connection: one word of letters, digits, `_` and `-` whose length
     * does not depend on the shape. It contains a cryptographic hash, so that callers cannot choose two shapes that
     * have the same name.
     */
    public val sharedName: String by lazy(LazyThreadSafetyMode.PUBLICATION) {
        // The code units are hashed, since encoding would map all unpaired surrogates to the same bytes.
        val content = ByteBuffer.allocate(shape.length * Char.SIZE_BYTES)
        content.asCharBuffer().put(shape)
        val hash = MessageDigest.getInstance(HASH_ALGORITHM).digest(content.array())
        prefix + Base64.getUrlEncoder().withoutPadding().encodeToString(hash)
    }

    private val prefix get() = if (access == StatementAccess.READ) "r_" else "w_"

    public companion object {
        /** Number of characters in every [sharedName]. */
        public const val SHARED_NAME_LENGTH: Int = 45

        private const val HASH_ALGORITHM = "SHA-256"
    }
}
