package dev.kumquatknot.standin.database

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.member.Statement
import kotlin.time.Duration

/**
 * One entry of a member's log: the changes of one transaction, or none where a term starts.
 *
 * @property committedAt clock time of the commit at the primary that wrote it.
 */
internal class LogEntry(val point: HistoryPoint, val changes: List<Statement>, val committedAt: Duration)

/** First and last position of the entries of one term in a log. */
internal data class TermSpan(val term: Term, val first: Long, val last: Long)

/** The log of one member. Positions count from 1 without gaps. Guarded by its member's lock. */
internal class MemberLog {
    private val entries = ArrayList<LogEntry>()
    private val spans = ArrayList<TermSpan>()

    val lastPoint: HistoryPoint get() = entries.lastOrNull()?.point ?: HistoryPoint.START

    val allEntries: List<LogEntry> get() = entries

    fun termSpans(): List<TermSpan> = spans.toList()

    fun append(entry: LogEntry) {
        val position = entry.point.position.value
        require(position == entries.size + 1L) { "entry $position does not follow ${entries.size}" }
        entries += entry
        val term = entry.point.term
        val span = spans.lastOrNull()
        if (span?.term ==
            term
        ) {
            spans[spans.lastIndex] = span.copy(last = position)
        } else {
            spans += TermSpan(term, position, position)
        }
    }

    fun nextPoint(term: Term): HistoryPoint = HistoryPoint(term, LogPosition(entries.size + 1L))

    fun entriesAfter(position: Long): List<LogEntry> = entries.subList(position.toInt(), entries.size).toList()

    /** Removes the entries after [position] and returns whether there were any. */
    fun truncateAfter(position: Long): Boolean {
        if (position >= entries.size) return false
        entries.subList(position.toInt(), entries.size).clear()
        spans.removeAll { it.first > position }
        spans.lastOrNull()?.let { if (it.last > position) spans[spans.lastIndex] = it.copy(last = position) }
        return true
    }

    /**
     * Returns the last position at which this log and the one with [other] spans are the same. One primary writes all
     * entries of a term, so two logs that share an entry of a term share everything before it.
     */
    fun commonPosition(other: List<TermSpan>): Long =
        spans.reversed().firstNotNullOfOrNull { span ->
            other.firstOrNull { it.term == span.term && it.first == span.first }?.let { minOf(it.last, span.last) }
        } ?: 0L
}
