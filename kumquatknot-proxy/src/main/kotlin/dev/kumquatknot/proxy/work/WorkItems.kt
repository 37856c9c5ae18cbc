package dev.kumquatknot.proxy.work

import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.proxy.relay.RelayRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Returns the description of this request for admission. */
internal fun RelayRequest.toWorkItem(deadline: Duration): WorkItem = WorkItem(
    id = id,
    team = team,
    kind = kind.name,
    rank = kind.rank,
    floorPercent = kind.floorPercent,
    target = kind.targetMillis.milliseconds,
    deadline = deadline,
)

/**
 * Whether the request may be retried although an earlier attempt may have run: reads, writes with an idempotency key
 * and writes that their team declares idempotent. Requests of an interactive transaction are never retried.
 */
internal val RelayRequest.isRepeatable: Boolean
    get() = when (work) {
        is Work.Read, Work.Resolve -> true
        is Work.Write -> key != null || kind.repetition == Repetition.IDEMPOTENT
        Work.Begin, is Work.Run, is Work.Commit, is Work.Rollback -> false
    }

/**
 * Time to wait for the reply to one batch of this request. It is limited for repeatable work, so that a connection
 * that no longer answers does not use up the whole deadline.
 */
internal val RelayRequest.replyTimeout: Duration
    get() =
        if (isRepeatable) maxOf(kind.targetMillis.milliseconds * TARGET_FACTOR, MINIMUM_TIMEOUT) else Duration.INFINITE

private const val TARGET_FACTOR = 4
private val MINIMUM_TIMEOUT = 1.seconds
