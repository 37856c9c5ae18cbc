package dev.kumquatknot.proxy.relay

import arrow.core.Either
import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.StatementResult
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.request.IdempotencyKey
import dev.kumquatknot.core.request.Work
import kotlin.time.Duration

/**
 * Freshness requirements of a read.
 *
 * @property required point that the answer must cover.
 * @property maximumAge age that the data may have when the answer leaves the member's gateway, or null for no limit.
 * @property requiresConfirmedPrimary whether the read must run at a primary that a majority is seen to follow after
 * the request has arrived, in the term that the majority has accepted.
 */
public data class ReadNeeds(
    val required: HistoryPoint,
    val maximumAge: Duration?,
    val requiresConfirmedPrimary: Boolean,
)

/**
 * Request that one VM sends to the gateway of [member].
 *
 * @property remaining time left until the caller's deadline.
 * @property catchUpTimeout longest time to wait for the member to become fresh enough.
 */
public data class RelayRequest(
    val id: RequestId,
    val team: TeamName,
    val kind: KindConfiguration,
    val database: DatabaseName,
    val member: MemberName,
    val needs: ReadNeeds,
    val work: Work,
    val key: IdempotencyKey?,
    val remaining: Duration,
    val catchUpTimeout: Duration,
)

/**
 * Answer of a member.
 *
 * @property point history point of the database group that the session has observed with this answer.
 * @property transaction number of the interactive transaction that was started, or null.
 */
public data class RelayAnswer(
    val results: List<StatementResult>,
    val point: HistoryPoint,
    val role: MemberRole,
    val repeated: Boolean = false,
    val transaction: Long? = null,
)

/**
 * Status of a member and its group as observed by the gateway of the member.
 *
 * @property primary primary of [term], or null if none is known.
 * @property point last log entry of the member, as last observed.
 * @property wait mean time that work waited for a slot.
 * @property service mean time that the member took for one batch.
 * @property lag average time that recent reads waited until the member reached the point of their session.
 */
public data class MemberStatus(
    val term: Term,
    val primary: MemberName?,
    val point: HistoryPoint,
    val wait: Duration,
    val service: Duration,
    val inFlight: Int,
    val queued: Int,
    val lag: Duration,
    val reachable: Boolean,
) {
    public companion object {
        /** Status of a member that this VM does not serve. */
        public val UNKNOWN: MemberStatus = MemberStatus(
            term = Term(0),
            primary = null,
            point = HistoryPoint.START,
            wait = Duration.ZERO,
            service = Duration.ZERO,
            inFlight = 0,
            queued = 0,
            lag = Duration.ZERO,
            reachable = false,
        )
    }
}

/** Outcome of a [RelayRequest], with the [status] of the member that every reply carries. */
public data class RelayReply(val result: Either<Failure, RelayAnswer>, val status: MemberStatus)
