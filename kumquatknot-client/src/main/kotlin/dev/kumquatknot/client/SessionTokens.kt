package dev.kumquatknot.client

/**
 * Tokens of one session. A request is sent with all current tokens, and the token in its answer covers these. So the
 * answer to one of several parallel requests never discards the state that another one observed. Thread-safe.
 */
internal class SessionTokens(tokens: Set<String>) {
    private var tokens = tokens

    /** Returns the tokens that together cover all answers received so far. */
    @Synchronized
    fun current(): Set<String> = tokens

    /** Replaces the tokens [sent] with a request by the [token] of its answer. */
    @Synchronized
    fun replace(sent: Set<String>, token: String) {
        tokens = tokens - sent + token
    }
}
