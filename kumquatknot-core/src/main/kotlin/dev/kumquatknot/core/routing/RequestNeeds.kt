package dev.kumquatknot.core.routing

import dev.kumquatknot.core.history.HistoryPoint
import kotlin.time.Duration

/** Requirements of a request on the member that runs it. */
public sealed interface RequestNeeds {
    /** Latest history point that the caller's session has observed. */
    public val sessionPoint: HistoryPoint

    /** Time within which the team wants the response. */
    public val target: Duration

    /** Time of the node's monotonic clock after which the response is useless. */
    public val deadline: Duration

    /** A write, which only the primary runs. */
    public data class Write(
        override val sessionPoint: HistoryPoint,
        override val target: Duration,
        override val deadline: Duration,
    ) : RequestNeeds

    /**
     * A read that must include all that the session has observed.
     *
     * @property maximumAge maximum staleness that the caller accepts; null if only session consistency is required.
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
