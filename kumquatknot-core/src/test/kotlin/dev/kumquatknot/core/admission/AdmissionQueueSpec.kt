package dev.kumquatknot.core.admission

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionQueueSpec {
    private val queue = AdmissionQueue(slots = 3)
    private var lastId = 0

    private fun item(
        kind: String,
        rank: Rank = Rank.STANDARD,
        floor: Int = 0,
        deadline: Duration = 1.seconds,
        team: String = "counter",
    ) = WorkItem(RequestId("r${++lastId}"), TeamName(team), KindName(kind), rank, floor, deadline / 2, deadline)

    private fun granted(item: WorkItem, now: Duration = Duration.ZERO): Ticket =
        (queue.offer(item, now) as Admission.Granted).ticket

    private fun fill(kind: String = "browse", rank: Rank = Rank.BACKGROUND): List<Ticket> =
        List(3) { granted(item(kind, rank)) }

    private fun kinds(changes: QueueChanges) = changes.granted.map { it.item.kind.value }

    @Nested
    inner class `two teams of one rank` {
        private val oneSlot = AdmissionQueue(slots = 1)

        /** Guards against one virtual time for all ranks: a new team then waits for all work of one with a backlog. */
        @Test
        fun `share slots fairly while a more urgent rank uses most of them`() {
            var running = (oneSlot.offer(item("pay", Rank.URGENT), Duration.ZERO) as Admission.Granted).ticket
            repeat(10) { oneSlot.offer(item("first", Rank.BACKGROUND, team = "first"), Duration.ZERO) }
            repeat(50) {
                oneSlot.offer(item("pay", Rank.URGENT), Duration.ZERO)
                running = oneSlot.release(running, Duration.ZERO, 5.milliseconds).granted.single()
            }
            oneSlot.offer(item("second", Rank.BACKGROUND, team = "second"), Duration.ZERO)
            val next = List(2) {
                running = oneSlot.release(running, Duration.ZERO, 5.milliseconds).granted.single()
                running.item.kind.value
            }
            expectThat(next).contains("second")
        }
    }

    @Nested
    inner class `reserved slots` {
        @Test
        fun `are not granted until they are free again`() {
            queue.reserve(2, Duration.ZERO)
            granted(item("browse"))
            expectThat(queue.offer(item("browse"), Duration.ZERO)).isA<Admission.Queued>()
            expectThat(kinds(queue.reserve(1, 1.milliseconds))).containsExactly("browse")
        }
    }

    @Nested
    inner class `a changed number of slots` {
        @Test
        fun `grants waiting work if it is higher`() {
            fill()
            queue.offer(item("browse"), Duration.ZERO)
            expectThat(kinds(queue.changeSlots(4, 1.milliseconds))).containsExactly("browse")
            expectThat(queue.load().limit).isEqualTo(4)
        }

        @Test
        fun `takes effect as statements end if it is lower`() {
            val running = fill()
            queue.changeSlots(1, Duration.ZERO)
            queue.offer(item("browse"), Duration.ZERO)
            expectThat(kinds(queue.release(running[0], 5.milliseconds, 5.milliseconds))).isEmpty()
            expectThat(kinds(queue.release(running[1], 5.milliseconds, 5.milliseconds))).isEmpty()
            expectThat(kinds(queue.release(running[2], 5.milliseconds, 5.milliseconds))).containsExactly("browse")
        }

        @Test
        fun `keeps the limit of a slow member in proportion`() {
            val running = fill()
            queue.release(running[0], 1.milliseconds, 5.milliseconds, answered = false)
            expectThat(queue.load().limit).isEqualTo(1)
            queue.changeSlots(6, 1.milliseconds)
            expectThat(queue.load().limit).isEqualTo(3)
        }
    }

    @Nested
    inner class `free slots` {
        @Test
        fun `are granted immediately up to the limit`() {
            fill()
            expectThat(queue.offer(item("browse"), Duration.ZERO)).isA<Admission.Queued>()
            expectThat(queue.load().inFlight).isEqualTo(3)
        }

        @Test
        fun `are granted to waiting work after a release`() {
            val running = fill()
            queue.offer(item("browse"), Duration.ZERO)
            expectThat(kinds(queue.release(running[0], 5.milliseconds, 5.milliseconds))).containsExactly("browse")
        }
    }

    @Nested
    inner class `scheduling order` {
        @Test
        fun `serves the most urgent rank first`() {
            val running = fill()
            queue.offer(item("clean", Rank.BACKGROUND), Duration.ZERO)
            queue.offer(item("browse", Rank.STANDARD), Duration.ZERO)
            queue.offer(item("book", Rank.URGENT), Duration.ZERO)
            val served = running.flatMap { kinds(queue.release(it, 5.milliseconds, 5.milliseconds)) }
            expectThat(served).containsExactly("book", "browse", "clean")
        }

        @Test
        fun `lets a kind with little work overtake the queue of another kind of its rank`() {
            var running = fill("enrol", Rank.URGENT)
            repeat(20) { queue.offer(item("enrol", Rank.URGENT), Duration.ZERO) }
            queue.offer(item("pay", Rank.URGENT), 1.milliseconds)
            val served = ArrayList<String>()
            repeat(2) { round ->
                val now = 5.milliseconds * (round + 1)
                running = running.flatMap { queue.release(it, now, 5.milliseconds).granted }
                served += running.map { it.item.kind.value }
            }
            expectThat(served.take(3)).contains("pay")
        }

        @Test
        fun `gives a kind its floor during a flood of more urgent work`() {
            val shares = floodedShares(floor = 10)
            expectThat(shares.getValue("clean")).isGreaterThanOrEqualTo(0.095)
            expectThat(shares.getValue("clean")).isLessThanOrEqualTo(0.15)
        }

        private fun floodedShares(floor: Int): Map<String, Double> {
            val served = HashMap<String, Int>()
            var running = List(3) { granted(item("book", Rank.URGENT)) }
            var now = Duration.ZERO
            repeat(1000) {
                repeat(4) { queue.offer(item("book", Rank.URGENT, deadline = now + 100.milliseconds), now) }
                queue.offer(item("clean", Rank.BACKGROUND, floor, deadline = now + 5.seconds), now)
                now += 5.milliseconds
                running = running.flatMap { queue.release(it, now, 5.milliseconds).granted }
                running.forEach { served.merge(it.item.kind.value, 1, Int::plus) }
            }
            return served.mapValues { it.value / served.values.sum().toDouble() }
        }
    }

    @Nested
    inner class `deadlines` {
        @Test
        fun `refuse an item immediately if the work ahead takes too long`() {
            fill()
            val refusals = List(200) { queue.offer(item("browse", deadline = 50.milliseconds), Duration.ZERO) }
                .filterIsInstance<Admission.Refused>()
            expectThat(refusals.size).isGreaterThan(150)
            expectThat(refusals.first().reason).isEqualTo(RefusalReason.DEADLINE_UNREACHABLE)
            expectThat(refusals.first().retryAfter).isGreaterThan(Duration.ZERO)
        }

        @Test
        fun `refuse a waiting item once it can no longer finish`() {
            val running = fill()
            queue.offer(item("browse", deadline = 20.milliseconds), Duration.ZERO)
            val changes = queue.release(running[0], 18.milliseconds, 18.milliseconds)
            expectThat(changes.granted).isEmpty()
            expectThat(changes.expired.map { it.refusal.reason }).containsExactly(RefusalReason.DEADLINE_PASSED)
            expectThat(queue.load().queued.values.sum()).isEqualTo(0)
        }

        @Test
        fun `are checked for all waiting items if there is no release`() {
            fill()
            queue.offer(item("browse", deadline = 20.milliseconds), Duration.ZERO)
            expectThat(queue.expire(19.milliseconds).expired.size).isEqualTo(1)
        }
    }

    @Nested
    inner class `a standing queue` {
        @Test
        fun `admits only as much as can be answered within the target`() {
            var running = fill()
            var now = Duration.ZERO
            val waits = ArrayList<Duration>()
            repeat(800) {
                repeat(5) {
                    queue.offer(item("browse", deadline = now + 1.seconds).copy(target = 100.milliseconds), now)
                }
                now += 5.milliseconds
                running = running.flatMap { queue.release(it, now, 5.milliseconds).granted }
                waits += running.map { now - it.offeredAt }
            }
            expectThat(waits.takeLast(100).max()).isLessThanOrEqualTo(110.milliseconds)
        }
    }

    @Nested
    inner class `cancellation` {
        @Test
        fun `removes a waiting item and keeps a running one`() {
            val running = fill()
            val waiting = (queue.offer(item("browse"), Duration.ZERO) as Admission.Queued).ticket
            queue.cancel(waiting, 1.milliseconds)
            queue.cancel(running[0], 1.milliseconds)
            expectThat(queue.load().inFlight).isEqualTo(3)
            expectThat(queue.release(running[0], 5.milliseconds, 5.milliseconds).granted).isEmpty()
        }
    }

    @Nested
    inner class `concurrency limit` {
        @Test
        fun `stays at the number of slots after an exceptionally short first statement`() {
            queue.release(granted(item("browse")), 100.microseconds, 100.microseconds)
            repeat(50) {
                val now = 10.milliseconds * (it + 1)
                queue.release(
                    granted(item("browse", deadline = now + 1.seconds), now),
                    now + 5.milliseconds,
                    5.milliseconds,
                )
            }
            expectThat(queue.load().limit).isEqualTo(3)
        }

        @Test
        fun `falls while the member does not respond and recovers afterwards`() {
            fill().forEach { queue.release(it, 1.seconds, 1.seconds, answered = false) }
            expectThat(queue.load().limit).isEqualTo(1)
            var now = 1.seconds
            repeat(100) {
                now += 5.milliseconds
                queue.release(granted(item("browse", deadline = now + 1.seconds), now), now, 5.milliseconds)
            }
            expectThat(queue.load().limit).isEqualTo(3)
        }
    }
}
