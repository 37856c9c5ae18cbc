package dev.kumquatknot.core.databasegroup

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.MemberRole
import kotlinx.serialization.Serializable

/**
 * Term, primary and log positions of a database group as one VM knows them. A lower term never replaces a higher one.
 *
 * @property term the highest term in which a primary was seen; 0 before the first one.
 * @property primary the primary in [term].
 * @property points last known log point of each member; a hint for routing, not a proof.
 */
@Serializable
public data class GroupView(
    val database: DatabaseName,
    val term: Term = Term(0),
    val primary: MemberName? = null,
    val points: Map<MemberName, HistoryPoint> = emptyMap(),
) {
    /** Returns this view updated with [report]. */
    public fun after(report: MemberReport): GroupView {
        val advanced = copy(points = points + (report.member to report.lastEntry))
        val newer = report.servesAsPrimary && report.acceptedTerm > term
        return if (newer) advanced.copy(term = report.acceptedTerm, primary = report.member) else advanced
    }

    /** Returns this view merged with [other] of another VM: the higher term and the higher point of each member win. */
    public fun merge(other: GroupView): GroupView {
        if (other.database != database) return this
        val newest = if (other.term > term) other else this
        val members = points.keys + other.points.keys
        val merged = members.associateWith { maxOf(pointOf(it), other.pointOf(it)) }
        return newest.copy(points = merged)
    }

    /** Returns the last known point of [member]. */
    public fun pointOf(member: MemberName): HistoryPoint = points[member] ?: HistoryPoint.START
}

/**
 * Whether the member is a primary in the term that it has accepted. A primary that accepted a later term without
 * being promoted in it lacks an entry of that term.
 */
public val MemberReport.servesAsPrimary: Boolean
    get() = role == MemberRole.PRIMARY && lastEntry.term == acceptedTerm
