package dev.kumquatknot.core.admission

/**
 * Virtual time and start tags of start-time fair queueing among competing keys. The tag of a key grows with the slot
 * time that it uses; the key with the lowest tag is served next. A key that becomes active again starts at the current
 * virtual time, so that it is neither penalised nor credited for the time without work.
 */
internal class FairQueueingClock<K : Any> {
    private val tags = HashMap<K, Double>()
    private var virtualTime = 0.0

    fun tag(key: K): Double = tags[key] ?: virtualTime

    /** Marks [key] as having work again after it had none. */
    fun activate(key: K) {
        tags[key] = maxOf(tag(key), virtualTime)
    }

    /** Records that [key] is served next and is expected to use [seconds] of weighted slot time. */
    fun dispatch(key: K, seconds: Double) {
        val start = tag(key)
        virtualTime = maxOf(virtualTime, start)
        tags[key] = start + seconds
    }

    /** Adds to the tag of [key] the difference of measured and expected slot time, in weighted [seconds]. */
    fun correct(key: K, seconds: Double) {
        tags.computeIfPresent(key) { _, tag -> tag + seconds }
    }

    /** Removes inactive keys whose tags do not exceed the virtual time. */
    fun removeIdle(active: (K) -> Boolean) {
        tags.entries.removeIf { (key, tag) -> tag <= virtualTime && !active(key) }
    }
}
