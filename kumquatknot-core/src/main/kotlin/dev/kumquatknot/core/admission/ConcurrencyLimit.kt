package dev.kumquatknot.core.admission

/**
 * Adaptive limit of the statements that run at one member at the same time.
 *
 * @property slots the member's configured slots; the limit never exceeds them.
 * @property exact the limit before rounding, between 1 and [slots].
 * @property slowdown moving average of service times relative to the long-term average of their kind.
 */
public data class ConcurrencyLimit(
    val slots: Int,
    val exact: Double = slots.toDouble(),
    val slowdown: Double = 1.0,
) {
    /** The limit rounded down, at least 1 and at most [slots]. */
    val current: Int get() = exact.toInt().coerceIn(1, slots)
}

/**
 * Measurement of one finished statement, the input to [AdjustLimit].
 *
 * @property slowdown its service time relative to the long-term average of its kind.
 * @property answered whether the member responded.
 * @property saturated whether all slots within the limit were in use when it ended.
 */
public data class ServiceSample(val slowdown: Double, val answered: Boolean, val saturated: Boolean)

/** Returns the [ConcurrencyLimit] after one more sample. */
public typealias AdjustLimit = (limit: ConcurrencyLimit, sample: ServiceSample) -> ConcurrencyLimit

/** Keeps the limit unchanged, whatever the member's service time is. */
public fun fixedLimit(
    limit: ConcurrencyLimit,
    @Suppress("UNUSED_PARAMETER") sample: ServiceSample,
): ConcurrencyLimit =
    limit

/**
 * Lowers the limit in proportion to the slowdown while the average slowdown exceeds [TOLERATED_SLOWDOWN], halves it
 * when the member does not respond, and raises it by [RECOVERY_STEP] per statement otherwise.
 */
public fun gradientLimit(limit: ConcurrencyLimit, sample: ServiceSample): ConcurrencyLimit {
    val slowdown = limit.slowdown + SAMPLE_WEIGHT * (sample.slowdown - limit.slowdown)
    val exact = when {
        !sample.answered -> limit.exact / 2
        slowdown > TOLERATED_SLOWDOWN -> limit.exact * (1 - SAMPLE_WEIGHT * (1 - TOLERATED_SLOWDOWN / slowdown))
        else -> limit.exact + RECOVERY_STEP
    }
    return limit.copy(exact = exact.coerceIn(1.0, limit.slots.toDouble()), slowdown = slowdown)
}

private const val SAMPLE_WEIGHT = 0.05
private const val TOLERATED_SLOWDOWN = 2.0
private const val RECOVERY_STEP = 0.05
