package dev.kumquatknot.proxy.membership

import kotlin.math.ceil
import kotlin.math.ln

/**
 * Queue of updates to disseminate by gossip, with the newest value per key. An update is sent as often as it takes to
 * reach all nodes with high probability. Updates with the fewest transmissions are sent first, and of these the newest.
 * Not thread-safe; guarded by the lock of its owner.
 */
internal class GossipQueue<K : Any, V : Any>(private val limit: Int) {
    private val items = LinkedHashMap<K, Item<V>>()

    /** Adds [value] and replaces a queued value with the same [key]. */
    fun add(key: K, value: V) {
        items.remove(key)
        items[key] = Item(value, 0)
    }

    /** Returns the updates for an additional message; they don't count as transmitted. */
    fun peek(): List<V> = chosen().map { it.value }

    /** Returns the updates for a regular message in a fleet of [nodes] nodes and counts the transmissions. */
    fun takeForTransmission(nodes: Int): List<V> {
        val transmissionLimit = ceil(RETRANSMISSION_FACTOR * ln(nodes + 1.0)).toInt()
        val chosen = chosen()
        chosen.forEach { it.transmissions++ }
        items.values.removeIf { it.transmissions >= transmissionLimit }
        return chosen.map { it.value }
    }

    private fun chosen(): List<Item<V>> = items.values.reversed().sortedBy { it.transmissions }.take(limit)

    private class Item<V>(val value: V, var transmissions: Int)

    private companion object {
        const val RETRANSMISSION_FACTOR = 3.0
    }
}
