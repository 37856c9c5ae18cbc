package dev.kumquatknot.proxy.interactive

import arrow.core.Either
import dev.kumquatknot.core.platform.WatchResult
import dev.kumquatknot.core.platform.ObjectChange
import dev.kumquatknot.core.platform.WatchableObjects
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Follows the objects of one [kind] in the platform's store on a thread of its own.
 *
 * While the store does not answer, what was read last stays in force.
 *
 * @param watchTime time that one call waits for changes; bounds the time for which a connection that went silent hides
 * them.
 * @param onObjects called on the reader's thread with all objects, after each change.
 */
public class FeedReader(
    private val kind: String,
    private val feed: WatchableObjects,
    private val events: EventLog,
    private val watchTime: Duration,
    private val pause: (Duration) -> Unit = { Thread.sleep(it.inWholeMilliseconds) },
    private val onObjects: (Collection<StoredObject>) -> Unit,
) {
    private val objects = LinkedHashMap<String, StoredObject>()
    private var failures = 0

    /** Starts the thread. */
    public fun start() {
        Thread(::follow, "feed-$kind").apply { isDaemon = true }.start()
    }

    private fun follow() {
        try {
            while (true) readSnapshot()?.let(::followFrom)
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }

    private fun readSnapshot(): Long? = answer(feed.snapshot(kind))?.let { snapshot ->
        objects.clear()
        snapshot.objects.associateByTo(objects) { it.key }
        onObjects(objects.values.toList())
        snapshot.revision
    }

    private fun followFrom(first: Long) {
        var revision = first
        while (true) {
            when (val answer = answer(feed.changes(kind, revision, watchTime))) {
                null -> Unit
                is WatchResult.RevisionCompacted -> return
                is WatchResult.Changed -> {
                    revision = answer.revision
                    answer.changes.forEach(::apply)
                    if (answer.changes.isNotEmpty()) onObjects(objects.values.toList())
                }
            }
        }
    }

    private fun apply(change: ObjectChange) {
        if (change.removed) objects.remove(change.stored.key) else objects[change.stored.key] = change.stored
    }

    /** Returns the answer, or null after a pause where there is none. */
    private fun <T> answer(result: Either<StoreFailure, T>): T? = result.fold(
        { failure ->
            failures++
            if (failures == REPORTED_FAILURES) {
                events.log(Event.STORE_UNAVAILABLE, "call" to "feed $kind", "detail" to failure.toString())
            }
            pause(minOf(FIRST_PAUSE * failures, LONGEST_PAUSE))
            null
        },
        { value ->
            if (failures >= REPORTED_FAILURES) events.log(Event.STORE_AVAILABLE, "call" to "feed $kind")
            failures = 0
            value
        },
    )

    private companion object {
        val FIRST_PAUSE = 100.milliseconds

        /** Well below the 3 s within which changes must be in force once the store is back; every call has a price. */
        val LONGEST_PAUSE = 1.seconds

        /** A single failure is ordinary, for example a watch that was cut off. */
        const val REPORTED_FAILURES = 2
    }
}
