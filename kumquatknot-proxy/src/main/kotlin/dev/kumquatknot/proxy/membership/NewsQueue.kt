package dev.kumquatknot.proxy.membership

import kotlin.math.ceil
import kotlin.math.ln

/**
 * News that waits to be passed on, newest value per key. An item is handed out as often as it takes to reach all
 * nodes with high probability, the least often handed out first. Guarded by the lock of its owner.
 */
internal class NewsQueue<K : Any, V : Any>(private val limit: Int) {
    private val items = LinkedHashMap<K, Item<V>>()

    /** Adds [value], which replaces what waits under [key]. */
    fun add(key: K, value: V) {
        items[key] = Item(value, 0)
    }

    /** Takes what goes into one message to one of [nodes] nodes. */
    fun take(nodes: Int): List<V> {
        val rounds = ceil(RETRANSMISSION_FACTOR * ln(nodes + 1.0)).toInt()
        val chosen = items.entries.sortedBy { it.value.sent }.take(limit)
        chosen.forEach { it.value.sent++ }
        items.entries.removeIf { it.value.sent >= rounds }
        return chosen.map { it.value.value }
    }

    private class Item<V>(val value: V, var sent: Int)

    private companion object {
        const val RETRANSMISSION_FACTOR = 3.0
    }
}
