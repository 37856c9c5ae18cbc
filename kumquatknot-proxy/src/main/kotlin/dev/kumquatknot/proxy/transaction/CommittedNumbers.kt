package dev.kumquatknot.proxy.transaction

import java.util.TreeSet

/**
 * Numbers of transactions that may have committed. The lowest are forgotten, and then count as committed.
 * Thread-safe.
 */
internal class CommittedNumbers(private val kept: Int = KEPT) {
    private val numbers = TreeSet<Long>()
    private var forgottenThrough = Long.MIN_VALUE

    /** Adds [number]. */
    @Synchronized
    fun add(number: Long) {
        numbers += number
        while (numbers.size > kept) forgottenThrough = maxOf(forgottenThrough, checkNotNull(numbers.pollFirst()))
    }

    /** Whether [number] has been added, or may have been. */
    @Synchronized
    fun mayContain(number: Long): Boolean = number <= forgottenThrough || number in numbers

    private companion object {
        const val KEPT = 10_000
    }
}
