package dev.kumquatknot.proxy.interactive

import arrow.core.Either
import dev.kumquatknot.core.platform.ObjectChange
import dev.kumquatknot.core.platform.ObjectSnapshot
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.core.platform.WatchPacing
import dev.kumquatknot.core.platform.WatchResult
import dev.kumquatknot.core.platform.WatchableObjects
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
import kotlin.time.Duration

/**
 * Watches the objects of one [kind] in the platform's store on a thread of its own.
 *
 * While the store does not answer, the objects read last stay in force. After a failed call all objects are read again.
 *
 * @param clock for the ages and durations in log lines.
 * @param changeInterval minimum time between two calls that return changes. Objects of many writers change all the
 * time; without it, the calls of all VMs together would grow with the product of VMs and writers.
 * @param onAnswer called on the watcher's thread after each answer that was applied, with the time for which the store
 * confirmed the objects.
 * @param onObjects called on the watcher's thread with all objects and the era of the store, after each change.
 */
public class ObjectWatcher(
    private val kind: String,
    private val feed: WatchableObjects,
    private val events: EventLog,
    private val clock: Clock,
    private val pacing: WatchPacing,
    private val changeInterval: Duration = Duration.ZERO,
    private val pause: (Duration) -> Unit = { Thread.sleep(it.inWholeMilliseconds) },
    private val onAnswer: (Duration) -> Unit = {},
    private val onObjects: (Collection<StoredObject>, StoreEra) -> Unit,
) {
    private val objects = LinkedHashMap<String, StoredObject>()
    private var failures = 0
    private var hasRead = false
    private var answeredAt: Duration? = null

    /** Starts the watching daemon thread. */
    public fun start() {
        Thread(::watch, "feed-$kind").apply { isDaemon = true }.start()
    }

    private fun watch() {
        try {
            while (true) {
                val isIntact = events.runStep("feed $kind") { readSnapshot()?.let { watchFrom(it.revision, it.era) } }
                if (!isIntact) pause(pacing.delayAfter(++failures))
            }
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }

    private fun readSnapshot(): ObjectSnapshot? {
        val sentAt = clock.elapsed()
        val snapshot = valueOrPause { feed.snapshot(kind) } ?: return null
        objects.clear()
        snapshot.objects.associateByTo(objects) { it.key }
        hasRead = true
        onObjects(objects.values.toList(), snapshot.era)
        onAnswer(sentAt)
        return snapshot
    }

    /** Watches until a call fails, the store no longer has the history since [first], or it has left [era]. */
    private fun watchFrom(first: Long, era: StoreEra) {
        var revision = first
        while (true) {
            val sentAt = clock.elapsed()
            when (val answer = valueOrPause { feed.changes(kind, revision, pacing.wait) }) {
                null, is WatchResult.RevisionCompacted -> return
                is WatchResult.Changed -> {
                    if (answer.era != era) return
                    revision = answer.revision
                    // The store answers when its wait has passed at the latest; a VM that was frozen reads that later.
                    val confirmedAt = minOf(clock.elapsed(), sentAt + pacing.wait)
                    if (answer.changes.isNotEmpty()) apply(answer.changes, era)
                    onAnswer(confirmedAt)
                    if (answer.changes.isNotEmpty() && changeInterval.isPositive()) pause(changeInterval)
                }
            }
        }
    }

    private fun apply(changes: List<ObjectChange>, era: StoreEra) {
        changes.forEach(::apply)
        onObjects(objects.values.toList(), era)
    }

    private fun apply(change: ObjectChange) {
        if (change.removed) objects.remove(change.stored.key) else objects[change.stored.key] = change.stored
    }

    /**
     * Returns the value of [call]; on a failure pauses and returns null. The delay grows once the objects have been
     * read; a process that has none yet can serve nothing.
     */
    private fun <T> valueOrPause(call: () -> Either<StoreFailure, T>): T? {
        val sentAt = clock.elapsed()
        return call().fold(
            { failure ->
                failures++
                if (isLogged(failures)) logFailure(failure, sentAt)
                pause(pacing.delayAfter(if (hasRead) failures else 1))
                null
            },
            { value ->
                if (failures >= FAILURES_BEFORE_LOGGING) {
                    events.log(
                        Event.STORE_AVAILABLE,
                        "call" to "feed $kind",
                        "failures" to failures,
                        "answerAgeMs" to answerAge(),
                    )
                }
                failures = 0
                answeredAt = clock.elapsed()
                value
            },
        )
    }

    private fun logFailure(failure: StoreFailure, sentAt: Duration) = events.log(
        Event.STORE_UNAVAILABLE,
        "call" to "feed $kind",
        "failures" to failures,
        "tookMs" to (clock.elapsed() - sentAt).inWholeMilliseconds,
        "answerAgeMs" to answerAge(),
        "detail" to failure.toString(),
    )

    /** Time since the store last answered this watcher, in milliseconds; null if it never did. */
    private fun answerAge(): Long? = answeredAt?.let { (clock.elapsed() - it).inWholeMilliseconds }

    /** The second failure is logged, and then each that doubles the number, which bounds the lines of a long outage. */
    private fun isLogged(failure: Int): Boolean =
        failure >= FAILURES_BEFORE_LOGGING && failure.countOneBits() == 1

    private companion object {
        /** Single failures are common, for example an interrupted watch, and are not logged. */
        const val FAILURES_BEFORE_LOGGING = 2
    }
}
