package dev.kumquatknot.proxy.caller

/** Names of the HTTP headers of the caller API. */
internal object CallerHeaders {
    const val AUTHORIZATION = "Authorization"
    const val KIND = "Kumquatknot-Kind"
    const val SESSION = "Kumquatknot-Session"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
    const val DEADLINE = "Kumquatknot-Deadline-Milliseconds"
    const val MAXIMUM_AGE = "Kumquatknot-Maximum-Age-Milliseconds"
}
