package dev.kumquatknot.client

/**
 * Tokens of one session. A request carries all tokens that are known when it leaves, and its answer's token covers
 * these; so answers of parallel requests never make the session forget what another one has seen. Thread-safe.
 */
internal class SessionTokens(tokens: Set<String>) {
    private var tokens = tokens

    /** Returns the tokens that together cover all answers so far. */
    @Synchronized
    fun current(): Set<String> = tokens

    /** Takes in [token], the answer to a request that carried [sent]. */
    @Synchronized
    fun replace(sent: Set<String>, token: String) {
        tokens = tokens - sent + token
    }
}
