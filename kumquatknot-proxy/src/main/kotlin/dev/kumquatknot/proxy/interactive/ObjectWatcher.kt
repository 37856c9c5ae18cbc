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
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/**
 * An answer of the store to a watcher.
 *
 * @property objects all objects; null if they are the same as in the previous answer.
 * @property revision revision of [era] up to which the answer covers all changes.
 * @property at time on the watcher's clock for which the store confirmed the objects.
 */
public data class WatchAnswer(
    val objects: List<StoredObject>?,
    val revision: Long,
    val era: StoreEra,
    val at: Duration,
)

/**
 * Watches the objects of one [kind] in the platform's store on a thread of its own.
 *
 * While the store does not answer, the objects read last stay in force. After a failed call all objects are read again.
 *
 * @param clock for the ages and durations in log lines.
 * @param changeInterval minimum time between two calls that return changes. Objects of many writers change all the
 * time; without it, the calls of all VMs together would grow with the product of VMs and writers.
 * @param maximumWait bounds the wait for changes and [changeInterval], and with them the age of the last answer.
 * @param onAnswer called on the watcher's thread after each answer of the store that was applied.
 */
public class ObjectWatcher(
    private val kind: String,
    private val feed: WatchableObjects,
    private val events: EventLog,
    private val clock: Clock,
    private val pacing: WatchPacing,
    private val changeInterval: Duration = Duration.ZERO,
    private val pause: (Duration) -> Unit = { Thread.sleep(it.inWholeMilliseconds) },
    private val maximumWait: () -> Duration = { Duration.INFINITE },
    private val onAnswer: (WatchAnswer) -> Unit,
) {
    private val lock = ReentrantLock()
    private val resumed = lock.newCondition()
    private var isPaused = false

    private val objects = LinkedHashMap<String, StoredObject>()
    private var failures = 0
    private var hasRead = false
    private var answeredAt: Duration? = null

    /** Starts the watching daemon thread. */
    public fun start() {
        Thread(::watch, "feed-$kind").apply { isDaemon = true }.start()
    }

    /** Pauses the watch; a call that is waiting for changes ends first. May be called on any thread. */
    public fun pause() {
        lock.withLock { isPaused = true }
    }

    /** Resumes the watch, which begins by reading all objects. May be called on any thread. */
    public fun resume(): Unit = lock.withLock {
        isPaused = false
        resumed.signalAll()
    }

    private fun awaitResumption() = lock.withLock { while (isPaused) resumed.await() }

    private fun shallPause() = lock.withLock { isPaused }

    private fun watch() {
        try {
            while (true) {
                awaitResumption()
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
        report(objects.values.toList(), snapshot.revision, snapshot.era, sentAt)
        return snapshot
    }

    private fun report(changed: List<StoredObject>?, revision: Long, era: StoreEra, confirmedAt: Duration) =
        onAnswer(WatchAnswer(changed, revision, era, confirmedAt))

    /**
     * Watches until it is paused, a call fails, the store no longer has the history since [first], or it has left
     * [era].
     */
    private fun watchFrom(first: Long, era: StoreEra) {
        var revision = first
        while (!shallPause()) {
            val sentAt = clock.elapsed()
            val wait = minOf(pacing.wait, maximumWait())
            when (val answer = valueOrPause { feed.changes(kind, revision, wait) }) {
                null, is WatchResult.RevisionCompacted -> return
                is WatchResult.Changed -> {
                    if (answer.era != era) return
                    revision = answer.revision
                    // The store answers when its wait has passed at the latest; a VM that was frozen reads that later.
                    val confirmedAt = minOf(clock.elapsed(), sentAt + wait)
                    if (answer.changes.isEmpty()) {
                        report(null, revision, era, confirmedAt)
                    } else {
                        apply(answer.changes, revision, era, confirmedAt)
                    }
                }
            }
        }
    }

    private fun apply(changes: List<ObjectChange>, revision: Long, era: StoreEra, confirmedAt: Duration) {
        changes.forEach(::apply)
        report(objects.values.toList(), revision, era, confirmedAt)
        if (changeInterval.isPositive()) pause(minOf(changeInterval, maximumWait()))
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
