package dev.kumquatknot.proxy.membership

import kotlin.math.ceil
import kotlin.math.ln

/**
 * News that waits to be passed on, newest value per key. An item is handed out as often as it takes to reach all
 * nodes with high probability, the least often handed out first, and of these the newest. Guarded by the lock of its
 * owner.
 */
internal class NewsQueue<K : Any, V : Any>(private val limit: Int) {
    private val items = LinkedHashMap<K, Item<V>>()

    /** Adds [value], which replaces what waits under [key]. */
    fun add(key: K, value: V) {
        items.remove(key)
        items[key] = Item(value, 0)
    }

    /** Returns what goes into one message that comes on top of the regular ones. */
    fun peek(): List<V> = chosen().map { it.value }

    /** Takes what goes into one regular message to one of [nodes] nodes. */
    fun take(nodes: Int): List<V> {
        val rounds = ceil(RETRANSMISSION_FACTOR * ln(nodes + 1.0)).toInt()
        val chosen = chosen()
        chosen.forEach { it.sent++ }
        items.values.removeIf { it.sent >= rounds }
        return chosen.map { it.value }
    }

    private fun chosen(): List<Item<V>> = items.values.reversed().sortedBy { it.sent }.take(limit)

    private class Item<V>(val value: V, var sent: Int)

    private companion object {
        const val RETRANSMISSION_FACTOR = 3.0
    }
}
