package dev.kumquatknot.proxy.transaction

import java.util.TreeSet

/**
 * Bounded set of the numbers of transactions that may have committed. When it is full, the lowest number is evicted;
 * evicted numbers and all below them count as possibly committed. Thread-safe.
 */
internal class CommittedNumbers(private val capacity: Int = DEFAULT_CAPACITY) {
    private val numbers = TreeSet<Long>()
    private var highestEvicted = Long.MIN_VALUE

    /** Adds [number] and evicts the lowest numbers beyond the capacity. */
    @Synchronized
    fun add(number: Long) {
        numbers += number
        while (numbers.size > capacity) highestEvicted = maxOf(highestEvicted, checkNotNull(numbers.pollFirst()))
    }

    /** Returns false only if [number] has certainly not been added. */
    @Synchronized
    fun mayContain(number: Long): Boolean = number <= highestEvicted || number in numbers

    private companion object {
        const val DEFAULT_CAPACITY = 10_000
    }
}
