package dev.kumquatknot.core.admission

/**
 * Start-time fair queueing among the holders of one resource. Each holder has a tag that grows with the slot time that
 * it received; the lowest tag goes next. A holder that was away comes back at the current virtual time, so that it
 * neither pays for nor profits from its absence.
 */
internal class FairClock<K : Any> {
    private val tags = HashMap<K, Double>()
    private var virtualTime = 0.0

    fun tag(key: K): Double = tags[key] ?: virtualTime

    /** Notes that [key] has work after a time without. */
    fun activate(key: K) {
        tags[key] = maxOf(tag(key), virtualTime)
    }

    /** Notes that [key] goes next and is expected to use [seconds] of weighted slot time. */
    fun dispatch(key: K, seconds: Double) {
        val start = tag(key)
        virtualTime = maxOf(virtualTime, start)
        tags[key] = start + seconds
    }

    /** Corrects the expected slot time of [key] by the difference to the measured one. */
    fun correct(key: K, seconds: Double) {
        tags.computeIfPresent(key) { _, tag -> tag + seconds }
    }

    /** Forgets holders without work whose tags the virtual time has passed. */
    fun forgetIdle(active: (K) -> Boolean) {
        tags.entries.removeIf { (key, tag) -> tag <= virtualTime && !active(key) }
    }
}
