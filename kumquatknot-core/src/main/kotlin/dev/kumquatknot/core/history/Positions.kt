package dev.kumquatknot.core.history

import kotlinx.serialization.Serializable

/** Term (epoch) of a database group, which has at most one primary. Each promotion uses a higher term. */
@JvmInline
@Serializable
public value class Term(public val value: Long) : Comparable<Term> {
    override fun compareTo(other: Term): Int = value.compareTo(other.value)

    /** Returns the term after this one. */
    public fun next(): Term = Term(value + 1)

    override fun toString(): String = value.toString()
}

/** Position in the log of a database group, in entries or bytes depending on the database. */
@JvmInline
@Serializable
public value class LogPosition(public val value: Long) : Comparable<LogPosition> {
    override fun compareTo(other: LogPosition): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/**
 * A point in the history of a database group: the last log entry has [position] and was written in [term].
 *
 * A member whose last entry is at a point that is not lower than `p` holds every acknowledged write up to `p`,
 * because every primary starts its term with an entry of its own.
 */
@Serializable
public data class HistoryPoint(val term: Term, val position: LogPosition) : Comparable<HistoryPoint> {
    override fun compareTo(other: HistoryPoint): Int {
        val byTerm = term.value.compareTo(other.term.value)
        return if (byTerm == 0) position.value.compareTo(other.position.value) else byTerm
    }

    /** Returns whether a member whose last entry is at this point holds every acknowledged write up to [required]. */
    public fun covers(required: HistoryPoint): Boolean = this >= required

    override fun toString(): String = "$term:$position"

    public companion object {
        /** The point before any write. */
        public val START: HistoryPoint = HistoryPoint(Term(0), LogPosition(0))
    }
}
