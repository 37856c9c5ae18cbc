package dev.kumquatknot.proxy.member

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberConnection
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.time.SystemClock
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

@Timeout(60)
class MemberGatewaySpec {
    private val member = FakeMember()
    private val gateway = MemberGateway(member.configuration, member.port, SystemClock)

    private fun item() = WorkItem(
        RequestId("request"),
        TeamName("counter"),
        KindName("book"),
        Rank.URGENT,
        floorPercent = 10,
        target = 5.seconds,
        deadline = SystemClock.elapsed() + 30.seconds,
    )

    private fun batch(end: BatchEnd) = StatementBatch(RequestId("request"), Term(1), false, emptyList(), end)

    private fun run(end: BatchEnd): Either<GatewayFailure, BatchReply> =
        gateway.execute(item()) { connection, timeout -> connection.run(batch(end), timeout) }

    @Nested
    inner class `a connection` {
        @Test
        fun `is reused after an answered commit`() {
            repeat(3) { run(BatchEnd.COMMIT) }
            expectThat(member.opened.get()).isEqualTo(1)
        }

        @Test
        fun `is closed if a transaction is still open`() {
            run(BatchEnd.KEEP_OPEN)
            expectThat(gateway.load.connections.total).isEqualTo(0)
            expectThat(member.open.get()).isEqualTo(0)
        }

        @Test
        fun `is not reused after a missing answer`() {
            member.answer = { MemberFailure.NoAnswer(member.name, Step.EXECUTE, "silent").left() }
            expectThat(run(BatchEnd.COMMIT)).isA<Either.Left<GatewayFailure>>()
            expectThat(member.open.get()).isEqualTo(0)
            expectThat(gateway.load.queue.inFlight).isEqualTo(0)
        }

        @Test
        fun `is reused after a failed statement, which was rolled back`() {
            member.answer = { MemberFailure.StatementFailed(member.name, "23505", "duplicate").left() }
            run(BatchEnd.COMMIT)
            expectThat(gateway.load.connections.idle).isEqualTo(1)
        }

        @Test
        fun `that cannot be opened fails the work and releases the slot`() {
            member.connect = { MemberFailure.Unreachable(member.name, Step.CONNECT, "refused").left() }
            expectThat(run(BatchEnd.COMMIT).leftOrNull()).isA<GatewayFailure.ConnectFailed>()
            expectThat(gateway.load.queue.inFlight).isEqualTo(0)
            expectThat(gateway.load.connections.total).isEqualTo(0)
        }
    }

    @Nested
    inner class `a pinned connection` {
        @Test
        fun `holds no slot between statements`() {
            val pinned = gateway.pin(item()).getOrNull()!!
            pinned.execute(item()) { connection, timeout -> connection.run(batch(BatchEnd.KEEP_OPEN), timeout) }
            expectThat(gateway.load.queue.inFlight).isEqualTo(0)
            expectThat(gateway.load.connections.transactions).isEqualTo(1)
            pinned.release(clean = false)
            pinned.release(clean = false)
            expectThat(gateway.load.connections.total).isEqualTo(0)
        }

        @Test
        fun `returns to the pool only when its last answer ended the transaction`() {
            val pinned = gateway.pin(item()).getOrNull()!!
            pinned.execute(item()) { connection, timeout -> connection.run(batch(BatchEnd.KEEP_OPEN), timeout) }
            pinned.release(clean = true)
            expectThat(gateway.load.connections.idle).isEqualTo(0)
        }

        @Test
        fun `is refused beyond the limit of transactions`() {
            repeat(5) { gateway.pin(item()) }
            expectThat(gateway.pin(item()).leftOrNull()).isA<GatewayFailure.NoFreeConnection>()
            expectThat(run(BatchEnd.COMMIT).isRight()).isTrue()
        }
    }

    @Nested
    inner class `draining` {
        @Test
        fun `refuses new work as not served and closes connections until the gateway resumes`() {
            run(BatchEnd.COMMIT)
            gateway.drain()
            expectThat(run(BatchEnd.COMMIT).leftOrNull()).isEqualTo(GatewayFailure.NotServed(member.name))
            expectThat(gateway.drained).isTrue()
            gateway.resume()
            expectThat(run(BatchEnd.COMMIT).isRight()).isTrue()
        }
    }

    @Nested
    inner class `many workers` {
        @Test
        fun `never exceed slots or connections, and release all of them`() {
            val seed = System.getProperty("kumquatknot.test.seed")?.toLong() ?: 20261204L
            println("seed $seed")
            member.answer = { request ->
                when (Random(seed + request).nextInt(10)) {
                    0 -> MemberFailure.NoAnswer(member.name, Step.EXECUTE, "silent").left()
                    1 -> MemberFailure.StatementFailed(member.name, "40001", "conflict").left()
                    else -> member.reply
                }
            }
            val workers = Executors.newFixedThreadPool(16)
            repeat(16) { worker -> workers.execute { runRandomWork(Random(seed + worker)) } }
            workers.shutdown()
            expectThat(workers.awaitTermination(30, TimeUnit.SECONDS)).isTrue()
            expectThat(member.maximumRunning.get()).isLessThanOrEqualTo(3)
            expectThat(member.maximumOpen.get()).isLessThanOrEqualTo(8)
            expectThat(gateway.load.queue.inFlight).isEqualTo(0)
            expectThat(gateway.load.queue.queued.values.sum()).isEqualTo(0)
            expectThat(gateway.load.connections.let { it.batches + it.transactions }).isEqualTo(0)
            expectThat(member.open.get()).isEqualTo(gateway.load.connections.idle)
            expectThat(member.usedConcurrentlyOrAfterClose.get()).isFalse()
        }

        private fun runRandomWork(random: Random) = repeat(200) {
            when (random.nextInt(6)) {
                0 -> runTransaction(random)
                1 -> gateway.maintain()
                else -> run(BatchEnd.entries.random(random))
            }
        }

        private fun runTransaction(random: Random) {
            val pinned = gateway.pin(item()).getOrNull() ?: return
            repeat(random.nextInt(3)) {
                pinned.execute(item()) { connection, timeout -> connection.run(batch(BatchEnd.KEEP_OPEN), timeout) }
            }
            pinned.execute(item()) { connection, timeout -> connection.run(batch(BatchEnd.COMMIT), timeout) }
            pinned.release(clean = true)
        }
    }
}

/** A member with 3 slots and 10 connections that counts open connections and running batches. */
private class FakeMember {
    val name = MemberName("inventory-1-a")
    val configuration = MemberConfiguration(name, DataCentre("mendoza-a"), "127.0.0.1:0", slots = 3, connections = 10)
    val opened = AtomicInteger()
    val open = AtomicInteger()
    val maximumOpen = AtomicInteger()
    val maximumRunning = AtomicInteger()
    val usedConcurrentlyOrAfterClose = java.util.concurrent.atomic.AtomicBoolean()
    val reply = BatchReply(RequestId("request"), emptyList(), HistoryPoint.START, Term(1)).right()
    private val running = AtomicInteger()
    private val requests = AtomicInteger()

    var answer: (Int) -> Either<MemberFailure, BatchReply> = { reply }
    var connect: (Duration) -> Either<MemberFailure, MemberConnection> = { FakeConnection().right() }

    private val unused = { error("not used") }
    val port = MemberPort(
        name,
        { connect(it) },
        { unused() },
        { _, _ -> unused() },
        { _, _ -> unused() },
        { _, _, _ -> unused() },
    )

    private fun recordMaximum(maximum: AtomicInteger, value: Int) {
        maximum.accumulateAndGet(value, ::maxOf)
    }

    private inner class FakeConnection : MemberConnection {
        private val users = AtomicInteger()
        private val closed = java.util.concurrent.atomic.AtomicBoolean()

        init {
            opened.incrementAndGet()
            recordMaximum(maximumOpen, open.incrementAndGet())
        }

        override fun run(batch: StatementBatch, timeout: Duration): Either<MemberFailure, BatchReply> {
            if (users.incrementAndGet() > 1 || closed.get()) usedConcurrentlyOrAfterClose.set(true)
            recordMaximum(maximumRunning, running.incrementAndGet())
            Thread.yield()
            running.decrementAndGet()
            users.decrementAndGet()
            return answer(requests.incrementAndGet())
        }

        override fun close() {
            if (closed.compareAndSet(false, true)) open.decrementAndGet()
        }
    }
}
