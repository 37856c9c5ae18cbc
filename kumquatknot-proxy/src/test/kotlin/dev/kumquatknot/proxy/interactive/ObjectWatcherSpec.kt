package dev.kumquatknot.proxy.interactive

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.platform.ObjectChange
import dev.kumquatknot.core.platform.ObjectSnapshot
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.core.platform.WatchPacing
import dev.kumquatknot.core.platform.WatchResult
import dev.kumquatknot.core.platform.WatchableObjects
import dev.kumquatknot.core.time.SystemClock
import dev.kumquatknot.proxy.event.EventLog
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.last
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ObjectWatcherSpec {
    private val seen = ArrayList<Pair<List<String>, StoreEra>>()
    private val pauses = ArrayList<Duration>()
    private val done = CountDownLatch(1)
    private var consumerErrors = 0
    private val confirmations = ArrayList<Int>()
    private val pacing = WatchPacing(4.seconds, connectTimeout = 800.milliseconds, answerTimeout = 700.milliseconds)

    private fun stored(name: String) = StoredObject("kind/$name", ObjectVersion(1), "")

    private fun snapshot(era: Long, revision: Long, vararg names: String): Either<StoreFailure, ObjectSnapshot> =
        ObjectSnapshot(names.map(::stored), revision, StoreEra(era)).right()

    private fun changed(era: Long, revision: Long, vararg names: String): Either<StoreFailure, WatchResult> =
        WatchResult.Changed(names.map { ObjectChange(stored(it), removed = false) }, revision, StoreEra(era)).right()

    /** Plays the scripted answers, then blocks the watcher. */
    private inner class Script(
        private val snapshots: ArrayDeque<Either<StoreFailure, ObjectSnapshot>>,
        private val answers: ArrayDeque<Either<StoreFailure, WatchResult>>,
    ) : WatchableObjects {
        override fun snapshot(kind: String) = snapshots.removeFirstOrNull() ?: block()

        override fun changes(kind: String, revision: Long, timeout: Duration) = answers.removeFirstOrNull() ?: block()

        private fun block(): Nothing {
            done.countDown()
            Thread.sleep(Long.MAX_VALUE)
            error("interrupted")
        }
    }

    private fun play(
        snapshots: List<Either<StoreFailure, ObjectSnapshot>>,
        answers: List<Either<StoreFailure, WatchResult>> = emptyList(),
        interval: Duration = Duration.ZERO,
    ) {
        val script = Script(ArrayDeque(snapshots), ArrayDeque(answers))
        ObjectWatcher("kind", script, EventLog(), SystemClock, pacing, interval, pauses::add) { answer ->
            if (consumerErrors-- > 0) error("an unexpected object")
            answer.objects?.let { objects -> seen += objects.map { it.key.substringAfter('/') } to answer.era }
            confirmations += seen.size
        }.start()
        check(done.await(10, TimeUnit.SECONDS)) { "the watcher has not played the script" }
    }

    @Test
    fun `reads all objects again when a watch answers from another era, whose revisions mean something else`() {
        play(
            snapshots = listOf(snapshot(1, 100, "a", "b"), snapshot(2, 90, "a")),
            answers = listOf(changed(1, 101, "c"), changed(2, 102, "d")),
        )
        expectThat(seen).containsExactly(
            listOf("a", "b") to StoreEra(1),
            listOf("a", "b", "c") to StoreEra(1),
            listOf("a") to StoreEra(2),
        )
    }

    @Test
    fun `reads all objects again when the watched revision is unknown`() {
        play(
            snapshots = listOf(snapshot(1, 100, "a"), snapshot(1, 200, "b")),
            answers = listOf(WatchResult.RevisionCompacted.right()),
        )
        expectThat(seen).last().isEqualTo(listOf("b") to StoreEra(1))
    }

    @Test
    fun `reads all objects after a failed watch, as a waiting call that is sent into an outage would outlast it`() {
        val failure = StoreFailure.NoAnswer("no answer").left()
        play(
            snapshots = listOf(snapshot(1, 100, "a"), failure, snapshot(1, 101, "a", "b")),
            answers = listOf(failure),
        )
        expectThat(seen).last().isEqualTo(listOf("a", "b") to StoreEra(1))
        expectThat(pauses).containsExactly(100.milliseconds, 200.milliseconds)
    }

    @Test
    fun `reads all objects again after an unexpected error, which ended the watch for good`() {
        consumerErrors = 1
        play(snapshots = listOf(snapshot(1, 100, "a"), snapshot(1, 101, "b")))
        expectThat(seen).containsExactly(listOf("b") to StoreEra(1))
    }

    @Test
    fun `collects changes for the interval, so that calls do not grow with the number of writers`() {
        play(
            snapshots = listOf(snapshot(1, 100, "a")),
            answers = listOf(changed(1, 101, "b"), changed(1, 101), changed(1, 102, "c")),
            interval = 700.milliseconds,
        )
        expectThat(pauses).containsExactly(700.milliseconds, 700.milliseconds)
    }

    @Test
    fun `makes no calls while it is paused and reads all objects when it is resumed`() {
        val calls = LinkedBlockingQueue<String>()
        val gate = Semaphore(0)
        val objects = object : WatchableObjects {
            override fun snapshot(kind: String) = snapshot(1, 100, "a").also { calls += "snapshot" }

            override fun changes(kind: String, revision: Long, timeout: Duration): Either<StoreFailure, WatchResult> {
                calls += "changes"
                gate.acquire()
                return changed(1, 100)
            }
        }
        val answers = LinkedBlockingQueue<WatchAnswer>()
        val watcher = ObjectWatcher("kind", objects, EventLog(), SystemClock, pacing, onAnswer = answers::add)
        watcher.start()
        expectThat(List(2) { calls.poll(10, TimeUnit.SECONDS) }).containsExactly("snapshot", "changes")
        watcher.pause()
        gate.release()
        expectThat(List(2) { answers.poll(10, TimeUnit.SECONDS)?.objects?.size }).containsExactly(1, null)
        expectThat(calls.poll(200, TimeUnit.MILLISECONDS)).isEqualTo(null)
        watcher.resume()
        expectThat(List(2) { calls.poll(10, TimeUnit.SECONDS) }).containsExactly("snapshot", "changes")
    }

    @Test
    fun `tries again soon while it has read nothing, as the process can serve nothing then`() {
        val failure = StoreFailure.Refused("no connection").left()
        play(snapshots = List(5) { failure } + snapshot(1, 1, "a"))
        expectThat(pauses.distinct()).containsExactly(100.milliseconds)
    }

    @Test
    fun `tells of each answer after its objects are in force, and of no failure or answer of another era`() {
        play(
            snapshots = listOf(snapshot(1, 100, "a"), snapshot(2, 90, "a"), snapshot(2, 91, "a")),
            answers = listOf(changed(1, 101, "b"), changed(1, 101), changed(2, 90), StoreFailure.NoAnswer("").left()),
        )
        expectThat(confirmations).containsExactly(1, 2, 2, 3, 4)
    }
}
