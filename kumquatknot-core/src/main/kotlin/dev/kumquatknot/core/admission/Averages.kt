package dev.kumquatknot.core.admission

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Exponentially weighted moving average of durations, in which each sample has the given [weight]. The first samples
 * have equal weights, so that a single outlier among them does not dominate the average.
 */
public class DurationAverage(private val weight: Double, private val initial: Duration) {
    private var seconds: Double? = null
    private var samples = 0

    /** The average; the initial value before the first sample. */
    public val value: Duration get() = seconds?.seconds ?: initial

    /** Whether a sample was added. */
    public val hasSamples: Boolean get() = seconds != null

    /** Adds [sample]. */
    public fun add(sample: Duration) {
        val latest = sample.toDouble(DurationUnit.SECONDS)
        samples++
        seconds = seconds?.let { it + maxOf(weight, 1.0 / samples) * (latest - it) } ?: latest
    }
}

/** Average number of slots in use: slot time per elapsed time, decaying exponentially with time constant [window]. */
internal class UsageRate(private val window: Duration) {
    private var slotSeconds = 0.0
    private var updatedAt = Duration.ZERO

    fun add(slotTime: Duration, now: Duration) {
        decay(now)
        slotSeconds += slotTime.toDouble(DurationUnit.SECONDS)
    }

    fun slots(now: Duration): Double {
        decay(now)
        return slotSeconds / window.toDouble(DurationUnit.SECONDS)
    }

    private fun decay(now: Duration) {
        if (now <= updatedAt) return
        slotSeconds *= exp(-((now - updatedAt) / window))
        updatedAt = now
    }
}
