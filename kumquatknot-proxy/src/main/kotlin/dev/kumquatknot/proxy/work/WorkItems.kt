package dev.kumquatknot.proxy.work

import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.configuration.Repetition
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.proxy.relay.RelayRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Returns what admission has to know of this request. */
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
 * Whether the request may be sent again although an earlier sending may have run: reads, work that carries a key, and
 * work that its team declares idempotent. Parts of an interactive transaction are never sent again.
 */
internal val RelayRequest.isRepeatable: Boolean
    get() = when (work) {
        is Work.Read, Work.Resolve -> true
        is Work.Write -> key != null || kind.repetition == Repetition.IDEMPOTENT
        Work.Begin, is Work.Run, is Work.Commit, is Work.Rollback -> false
    }

/**
 * Time to wait for the answer to one batch of this request. Work that may be sent again does not spend its whole
 * deadline on a connection that has gone silent.
 */
internal val RelayRequest.patience: Duration
    get() = if (isRepeatable) maxOf(kind.targetMillis.milliseconds * TARGETS, SHORTEST_PATIENCE) else Duration.INFINITE

private const val TARGETS = 4
private val SHORTEST_PATIENCE = 1.seconds
