package dev.kumquatknot.core.admission

/**
 * Virtual times and start tags of start-time fair queueing among competing keys. The tag of a key grows with the slot
 * time that it uses; the key with the lowest tag is served next. A key that becomes active again starts at the current
 * virtual time, so that it is neither penalised nor credited for the time without work.
 *
 * Only keys of one scope compete, so each scope has a virtual time of its own: with that of a busier scope, a key that
 * becomes active would start far behind a competitor that always has work.
 *
 * @param scopeOf returns the scope of a key.
 */
internal class FairQueueingClock<K : Any>(private val scopeOf: (K) -> Any) {
    private val tags = HashMap<K, Double>()
    private val virtualTimes = HashMap<Any, Double>()

    fun tag(key: K): Double = tags[key] ?: virtualTime(key)

    /** Marks [key] as having work again after it had none. */
    fun activate(key: K) {
        tags[key] = maxOf(tag(key), virtualTime(key))
    }

    /** Records that [key] is served next and is expected to use [seconds] of weighted slot time. */
    fun dispatch(key: K, seconds: Double) {
        val start = tag(key)
        virtualTimes[scopeOf(key)] = maxOf(virtualTime(key), start)
        tags[key] = start + seconds
    }

    /** Adds to the tag of [key] the difference of measured and expected slot time, in weighted [seconds]. */
    fun correct(key: K, seconds: Double) {
        tags.computeIfPresent(key) { _, tag -> tag + seconds }
    }

    /** Removes inactive keys whose tags do not exceed the virtual time, and scopes without keys. */
    fun removeIdle(active: (K) -> Boolean) {
        tags.entries.removeIf { (key, tag) -> tag <= virtualTime(key) && !active(key) }
        virtualTimes.keys.retainAll(tags.keys.mapTo(HashSet()) { scopeOf(it) })
    }

    private fun virtualTime(key: K): Double = virtualTimes[scopeOf(key)] ?: 0.0
}
