package dev.kumquatknot.operations.today

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Intervals at which nodes write their summaries and aggregate those of their VM group.
 *
 * The interval grows with the fleet, which limits all nodes together to [WRITES_PER_SECOND], and with the size of a
 * summary, which limits one node to [BYTES_PER_SECOND]. Losing a VM loses at most one interval of its figures.
 */
public object SummarySchedule {
    /** Maximum rate at which the whole fleet writes summaries. */
    public const val WRITES_PER_SECOND: Int = 10

    /** Maximum rate at which one node writes summaries; aggregation may read as much again. */
    public const val BYTES_PER_SECOND: Int = 2_000

    /** Number of VM groups in a large fleet. Fixed, so that a VM never changes its group. */
    public const val VM_GROUPS: Int = 32

    /** Number of VMs up to which a page reads the individual summaries instead of the aggregates of the VM groups. */
    public const val DIRECT_SOURCES: Int = 40

    private const val STALE_INTERVALS = 4
    private val minimumInterval = 5.seconds
    private val maximumDelay = 60.seconds

    /** Returns the time between two summaries of one node in a fleet of [vms], whose last one had [bytes]. */
    public fun writeInterval(vms: Int, bytes: Int): Duration =
        maxOf(
            minimumInterval,
            (vms.toDouble() / WRITES_PER_SECOND).seconds,
            (bytes.toDouble() / BYTES_PER_SECOND).seconds,
        )

    /** Returns the time between two aggregations of a VM group whose summaries have [bytes] in total. */
    public fun aggregationInterval(vms: Int, bytes: Int): Duration = writeInterval(vms, bytes)

    /** Returns the age above which the latest figures of a node in a fleet of [vms] count as stale. */
    public fun staleAfter(vms: Int): Duration = writeInterval(vms, bytes = 0) * STALE_INTERVALS + maximumDelay
}
