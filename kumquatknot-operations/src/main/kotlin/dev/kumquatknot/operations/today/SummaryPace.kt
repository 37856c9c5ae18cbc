package dev.kumquatknot.operations.today

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How often nodes write their summaries and fold those of their group.
 *
 * The interval grows with the fleet, so that all nodes together stay at [WRITES_PER_SECOND], and with the size of a
 * summary, so that one node stays at [BYTES_PER_SECOND]. A VM that is lost takes at most one interval of figures along.
 */
public object SummaryPace {
    /** Writes of summaries that the whole fleet makes in a second. */
    public const val WRITES_PER_SECOND: Int = 10

    /** Bytes of summaries that one node writes in a second; folding may read as many again. */
    public const val BYTES_PER_SECOND: Int = 2_000

    /** Groups that the VMs of a large fleet are divided into. Fixed, so that a VM never changes its group. */
    public const val GROUPS: Int = 32

    /** Sources up to which a page reads the summaries themselves. */
    public const val DIRECT_SOURCES: Int = 40

    private const val INTERVALS_UNTIL_STALE = 4
    private val shortest = 5.seconds
    private val largestDelay = 60.seconds

    /** Returns the time between two summaries of one node in a fleet of [vms], whose last one had [bytes]. */
    public fun writeInterval(vms: Int, bytes: Int): Duration =
        maxOf(shortest, (vms.toDouble() / WRITES_PER_SECOND).seconds, (bytes.toDouble() / BYTES_PER_SECOND).seconds)

    /** Returns the time between two foldings of a group whose summaries had [bytes] together. */
    public fun foldInterval(vms: Int, bytes: Int): Duration = writeInterval(vms, bytes)

    /** Returns the age from which the newest figures of a node in a fleet of [vms] count as missing. */
    public fun staleAfter(vms: Int): Duration = writeInterval(vms, bytes = 0) * INTERVALS_UNTIL_STALE + largestDelay
}
