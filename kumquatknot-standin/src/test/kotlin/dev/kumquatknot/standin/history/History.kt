package dev.kumquatknot.standin.history

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.FailureReason
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration

/** What a session asked for. */
sealed interface Action {
    /** Unkeyed insert of a row whose id is used once. */
    data class Book(val id: String) : Action

    /** Keyed work: adds 1 to an account and leaves one row for the key, without a unique index on it. */
    data class Charge(val account: String, val key: String) : Action

    /** Question for the outcome of the work with [key]. */
    data class Resolve(val key: String) : Action

    /** Read with the session's token of ids that it has written itself. */
    data class ReadOwn(val ids: List<String>) : Action

    /** One read of both rows of a transaction of any session. */
    data class ReadPair(val pair: String) : Action

    /** Read of the clock row with a stated age. */
    data class ReadAged(val maximumAge: Duration) : Action

    /** Sets the clock row to [value], which only grows. */
    data class Tick(val value: Long) : Action

    /** Interactive transaction that inserts both rows of [pair]. */
    data class Pair(val pair: String) : Action

    /** The commit of the transaction of [pair], sent again after an unknown outcome. */
    data class CommitAgain(val pair: String) : Action
}

/** How an operation ended towards its caller. [values] holds what it read; null stands for an absent row. */
data class Ending(
    val effect: Effect,
    val reason: FailureReason? = null,
    val values: List<Long?> = emptyList(),
    val point: HistoryPoint? = null,
    val repeated: Boolean = false,
    val detail: String = "",
)

/** One operation of a session at a node, with the moments at which it was sent and answered. */
data class Operation(
    val session: Int,
    val node: Int,
    val action: Action,
    val invokedAt: Duration,
    val completedAt: Duration,
    val ending: Ending,
) {
    val completed: Boolean get() = ending.effect == Effect.COMPLETED
}

/** State of the group after all faults were healed and all sessions had ended. */
data class FinalState(
    val rows: Map<String, Long>,
    val charges: Map<String, Int>,
    val points: Set<HistoryPoint>,
)

/** A recorded run: its [operations], the [configurations] that each node had in force in order, and how it ended. */
data class History(
    val operations: List<Operation>,
    val configurations: Map<Int, List<Long>>,
    val final: FinalState,
)

/** Collects operations from all sessions. Thread-safe. */
class Recorder(private val now: () -> Duration) {
    private val recorded = ConcurrentLinkedQueue<Operation>()

    val operations: List<Operation> get() = recorded.toList()

    fun record(session: Int, node: Int, action: Action, run: () -> Ending): Ending {
        val invokedAt = now()
        val ending = run()
        recorded += Operation(session, node, action, invokedAt, now(), ending)
        return ending
    }
}
