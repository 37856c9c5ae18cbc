package dev.kumquatknot.core.customer

import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Name of a customer, unique in the fleet; members are told it when a connection opens. */
@JvmInline
@Serializable
public value class CustomerName(public val value: String) : Comparable<CustomerName> {
    override fun compareTo(other: CustomerName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Secret by which a caller proves on whose behalf it calls. Its text must not reach logs, metrics or members. */
@JvmInline
public value class CallerKey(private val value: String) {
    override fun toString(): String = "CallerKey(hidden)"
}

/**
 * Limit on the operations of a customer over all VMs.
 *
 * @property burst operations that may run at once after a quiet time, in addition to the rate.
 */
public data class RateLimit(val operationsPerSecond: Double, val burst: Double)

/**
 * How the limits of customers are judged: in each sliding [window] at most
 * (rate x window + burst) x (1 + [overage]) + [slack] operations may run.
 */
public data class LimitWindow(val window: Duration, val overage: Double, val slack: Int)

/**
 * An organisation whose callers hold [keys].
 *
 * @property limit null if the operations of the customer are not limited.
 */
public data class Customer(val name: CustomerName, val keys: Set<CallerKey>, val limit: RateLimit?)
