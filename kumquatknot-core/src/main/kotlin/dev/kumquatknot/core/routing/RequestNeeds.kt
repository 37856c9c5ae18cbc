package dev.kumquatknot.core.routing

import dev.kumquatknot.core.history.HistoryPoint
import kotlin.time.Duration

/** What a request needs of the member that runs it. */
public sealed interface RequestNeeds {
    /** Point that the caller's session has seen. */
    public val sessionPoint: HistoryPoint

    /** Time within which the team wants the answer. */
    public val target: Duration

    /** Moment of the node's monotonic clock after which the answer is of no more use. */
    public val deadline: Duration

    /** A change, which only the primary runs. */
    public data class Write(
        override val sessionPoint: HistoryPoint,
        override val target: Duration,
        override val deadline: Duration,
    ) : RequestNeeds

    /**
     * A read of data that holds all that the session has seen.
     *
     * @property maximumAge age of data that the caller accepts; null where it asks for its session's writes only.
     * @property unresolved whether the session has a write of unknown outcome in the database group.
     */
    public data class Read(
        override val sessionPoint: HistoryPoint,
        override val target: Duration,
        override val deadline: Duration,
        val maximumAge: Duration? = null,
        val unresolved: Boolean = false,
    ) : RequestNeeds
}
