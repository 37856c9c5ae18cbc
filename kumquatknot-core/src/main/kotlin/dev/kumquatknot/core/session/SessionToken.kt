package dev.kumquatknot.core.session

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.TeamName
import kotlinx.serialization.Serializable

/**
 * What a session has written or read so far. The caller passes it from each answer to the next request.
 *
 * @property points highest point that the session has written or read in each database group.
 * @property unresolved database groups in which the session has a write of unknown outcome; its reads there go to a
 * primary that a majority still follows, until a later write or a resolved key settles the outcome.
 */
@Serializable
public data class SessionToken(
    val team: TeamName,
    val points: Map<DatabaseName, HistoryPoint> = emptyMap(),
    val unresolved: Set<DatabaseName> = emptySet(),
) {
    /** Returns the point that a read of [database] must have reached. */
    public fun pointOf(database: DatabaseName): HistoryPoint = points[database] ?: HistoryPoint.START

    /** Returns this token after the session has written or read [point] of [database]. */
    public fun advancedTo(database: DatabaseName, point: HistoryPoint): SessionToken =
        copy(points = points + (database to maxOf(pointOf(database), point)))

    /** Returns this token after a write to [database] ended with unknown outcome. */
    public fun withUnresolved(database: DatabaseName): SessionToken = copy(unresolved = unresolved + database)

    /** Returns this token after a primary that a majority still follows has answered for [database]. */
    public fun withResolved(database: DatabaseName): SessionToken = copy(unresolved = unresolved - database)

    /** Returns the token of a session that has written and read everything that this one and [other] have. */
    public fun mergedWith(other: SessionToken): SessionToken =
        other.points.entries
            .fold(this) { merged, (database, point) -> merged.advancedTo(database, point) }
            .copy(unresolved = unresolved + other.unresolved)
}
