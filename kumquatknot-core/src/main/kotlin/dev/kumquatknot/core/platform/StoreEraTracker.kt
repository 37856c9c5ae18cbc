package dev.kumquatknot.core.platform

import java.util.concurrent.atomic.AtomicLong

/** What a [StoreEraTracker] reports. */
public sealed interface EraReport {
    /** The store came back from a copy: [previous] has ended, and what was written since the copy is gone. */
    public data class Changed(val previous: StoreEra, val current: StoreEra) : EraReport

    /** A response named no usable era; [current] stays in force. */
    public data class Invalid(val detail: String, val current: StoreEra) : EraReport
}

/**
 * Tracks the era of the store from the text that its responses carry. The era never falls: a response of an earlier
 * era was delayed, and what it says no longer holds. Thread-safe.
 *
 * @param report receives each change of the era, and the first of consecutive invalid texts.
 */
public class StoreEraTracker(private val report: (EraReport) -> Unit) {
    private val latest = AtomicLong(StoreEra.UNKNOWN.value)

    @Volatile
    private var wasInvalid = false

    /** The latest era that a response has named. */
    public val current: StoreEra get() = StoreEra(latest.get())

    /**
     * Returns the era of a response that carried [text], or null if the response is of an earlier era. A response
     * without a usable era counts as one of the current era.
     */
    public fun observe(text: String?): StoreEra? {
        val named = text?.trim()?.toLongOrNull()?.takeIf { it >= 0 }
        if (named == null) return current.also { if (text != null || it != StoreEra.UNKNOWN) invalid("era \"$text\"") }
        val previous = latest.getAndAccumulate(named, ::maxOf)
        if (named < previous) {
            invalid("era $named")
            return null
        }
        wasInvalid = false
        if (named > previous) report(EraReport.Changed(StoreEra(previous), StoreEra(named)))
        return StoreEra(named)
    }

    private fun invalid(detail: String) {
        if (wasInvalid) return
        wasInvalid = true
        report(EraReport.Invalid(detail, current))
    }
}
