package dev.kumquatknot.proxy.pool

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Connections of a member by its own count, which includes those of other VMs.
 *
 * @param reserve connections that are left to VMs that have none.
 */
internal class MemberConnectionCount(private val reserve: Int, private val now: () -> Duration) {
    private val refresh = CountRefresh()
    private var ofOthers: Int? = null
    private var countedAt = Duration.ZERO
    private var fullSince: Duration? = null

    /** Whether the member has reported its count. */
    val isKnown: Boolean get() = ofOthers != null

    /** Whether the count is too old to rely on when many connections are opened. */
    val isOld: Boolean get() = isKnown && now() - countedAt > RELIABLE_AGE

    /** Whether the member had no connections left lately. */
    val wasFullRecently: Boolean get() = fullSince?.let { now() - it < SCARCITY_PERIOD } ?: false

    /** Returns how many connections are free beyond the [own] ones if the member accepts [maximum]. */
    fun free(own: Int, maximum: Int): Int {
        // Until the member has reported its count, assume that other VMs hold all but the one that each VM may have.
        val connectionsOfOthers = ofOthers ?: maximum
        return maximum - reserve - connectionsOfOthers - own
    }

    /** Records that the member has [total] connections of at most [maximum], of which [own] are those of this VM. */
    fun record(total: Int, own: Int, maximum: Int) {
        ofOthers = (total - own).coerceAtLeast(0)
        countedAt = now()
        val isFull = free(own, maximum) <= 0
        refresh.recordCount(now(), isFull)
        if (isFull) recordFull()
    }

    /** Records that the member rejected a connection as it had too many. */
    fun recordFull() {
        fullSince = now()
    }

    /** Returns whether to request the count again; the request then counts as pending until [endRequest]. */
    fun beginRequest(): Boolean = refresh.begin(now())

    /** Records that the request was answered or has failed. */
    fun endRequest() = refresh.end()

    private companion object {
        /** Time after a member was full for which connections to it count as scarce. */
        val SCARCITY_PERIOD = 5.seconds

        /** Connections of a VM that vanished count for 3 s, so a more recent count is not much better. */
        val RELIABLE_AGE = 3.seconds
    }
}
