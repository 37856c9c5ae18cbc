package dev.kumquatknot.core.platform

/**
 * Era of the platform's store, which rises each time the store comes back from an older copy of itself. Revisions are
 * given out again then, so they are comparable within one era only.
 */
@JvmInline
public value class StoreEra(public val value: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** Era of a store that names none. */
        public val UNKNOWN: StoreEra = StoreEra(0)
    }
}

/** A store whose responses belong to an era. */
public interface EraOfStore {
    /** The latest era that a response has named. */
    public val era: StoreEra get() = StoreEra.UNKNOWN
}
