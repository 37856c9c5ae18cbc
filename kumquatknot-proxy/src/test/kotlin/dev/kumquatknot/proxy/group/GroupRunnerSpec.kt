package dev.kumquatknot.proxy.group

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.databasegroup.Confirmation
import dev.kumquatknot.core.databasegroup.GroupView
import dev.kumquatknot.core.databasegroup.MajorityPrimary
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.BatchReply
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.time.Clock
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull
import java.time.Instant
import java.util.concurrent.Callable
import java.util.concurrent.ScheduledFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

class GroupRunnerSpec {
    private val clock = ManualClock()
    private val timer = ManualTimer(clock)
    private val members = listOf("a", "b", "c").map { FakeMember(MemberName(it)) }
    private val database = DatabaseConfiguration(
        DatabaseName("inventory"),
        members.map { MemberConfiguration(it.name, DataCentre("dc"), "127.0.0.1:0", slots = 3, connections = 20) },
    )
    private val published = mutableListOf<GroupView>()
    private val runner = newRunner()

    private fun newRunner() = GroupRunner(
        database,
        GroupRunnerPorts(members.map { it.port() }, publish = { view, _ -> published += view }),
        GroupRunnerSettings(VmName("vm-1"), incarnation = 7),
        GroupRunnerThreads(timer, Runnable::run),
        clock,
    )

    @AfterEach
    fun `shut down the timer`() {
        timer.shutdownNow()
    }

    private fun startRunner(): MemberName {
        runner.start()
        timer.advance(3.seconds)
        return runner.view().primary!!
    }

    @Nested
    inner class `a group without a primary` {
        @Test
        fun `promotes one member, which the others follow and listeners are notified of`() {
            val views = mutableListOf<GroupView>()
            runner.addViewListener { views += it }
            val primary = startRunner()
            expectThat(members.filter { it.role == MemberRole.PRIMARY }.map { it.name }).isEqualTo(listOf(primary))
            expectThat(members.count { it.following == primary }).isEqualTo(2)
            expectThat(views.map { it.primary }).isEqualTo(listOf(primary))
            expectThat(published).hasSize(1)
        }

        @Test
        fun `is not changed by a stopped runner`() {
            runner.start()
            runner.stop()
            timer.advance(3.seconds)
            expectThat(runner.view().primary).isEqualTo(null)
        }
    }

    @Nested
    inner class `a primary that no longer answers this VM` {
        @Test
        fun `is replaced within three seconds if its replicas have lost contact too`() {
            val first = startRunner()
            members.first { it.name == first }.refusesCalls = true
            members.filter { it.name != first }.forEach { it.hearsPrimary = false }
            timer.advance(3.seconds)
            expectThat(runner.view().primary).isNotNull().isNotEqualTo(first)
        }

        @Test
        fun `is kept for three seconds while its replicas are in contact with it`() {
            val first = startRunner()
            members.first { it.name == first }.refusesCalls = true
            timer.advance(3.seconds)
            expectThat(runner.view().primary).isEqualTo(first)
        }
    }

    @Nested
    inner class `the request path` {
        @Test
        fun `gets the confirmation of a write from the reply of a replica`() {
            val primary = startRunner()
            val point = HistoryPoint(runner.view().term, LogPosition(40))
            val reply = BatchReply(RequestId("r"), emptyList(), point, point.term)
            runner.observeReply(members.first { it.name != primary }.name, clock.elapsed(), reply)
            expectThat(runner.awaitConfirmation(point, primary, clock.elapsed())).isEqualTo(Confirmation.CONFIRMED)
        }

        @Test
        fun `gets the primary that a majority follows, and the proven age of data`() {
            val primary = startRunner()
            val since = clock.elapsed()
            timer.advance(300.milliseconds)
            val standing = MajorityPrimary(runner.view().term, primary)
            expectThat(runner.awaitStanding(since, clock.elapsed())).isEqualTo(standing)
            expectThat(runner.provenAge(runner.view().pointOf(primary))).isNotNull()
        }

        @Test
        fun `reports to other VMs when a member last answered`() {
            val primary = startRunner()
            expectThat(runner.vantage(primary).heardAgo).isNotNull()
        }
    }

    @Test
    fun `uses another proposer name than an earlier runner of the same VM`() {
        startRunner()
        runner.stop()
        members.forEach {
            it.role = MemberRole.REPLICA
            it.hearsPrimary = false
        }
        newRunner().start()
        timer.advance(5.seconds)
        val proposers = members.flatMap { it.proposers }.toSet()
        expectThat(proposers).hasSize(2)
        expectThat(proposers.map { it.value.substringBefore('/') }.toSet()).contains("vm-1")
    }

    private inner class FakeMember(val name: MemberName) {
        var role = MemberRole.REPLICA
        var following: MemberName? = null
        var refusesCalls = false
        var hearsPrimary = true
        var primaryContactAt: Duration? = null
        val proposers = mutableSetOf<VmName>()
        private var term = Term(0)
        private var last = HistoryPoint.START

        fun port() = MemberPort(
            name,
            connect = { unreachable() },
            report = { timeout -> answer(timeout) { report() } },
            acceptTerm = { proposal, timeout ->
                answer(timeout) {
                    term = proposal.term
                    proposers += proposal.proposer
                    report()
                }
            },
            promote = { _, timeout ->
                answer(timeout) {
                    role = MemberRole.PRIMARY
                    last = HistoryPoint(term, LogPosition(last.position.value + 1))
                    report()
                }
            },
            follow = { followed, primary, timeout ->
                answer(timeout) {
                    term = followed
                    following = primary
                    primaryContactAt = clock.elapsed()
                    report()
                }
            },
        )

        private fun report(): MemberReport {
            if (hearsPrimary && following != null) primaryContactAt = clock.elapsed()
            val age = primaryContactAt?.let { clock.elapsed() - it }
            return MemberReport(name, role, term, last, age.takeIf { role == MemberRole.REPLICA })
        }

        private fun answer(timeout: Duration, run: () -> MemberReport): Either<MemberFailure, MemberReport> {
            if (!refusesCalls) return run().right()
            return MemberFailure.Unreachable(name, Step.PROBE, "refused within $timeout").left()
        }

        private fun unreachable() = MemberFailure.Unreachable(name, Step.CONNECT, "no statements here").left()
    }

    private class ManualClock : Clock {
        var time: Duration = Duration.ZERO

        override fun elapsed(): Duration = time

        override fun instant(): Instant = Instant.EPOCH
    }

    /** Runs due tasks in the thread that advances the clock; the thread of the pool never runs any. */
    private class ManualTimer(private val clock: ManualClock) : ScheduledThreadPoolExecutor(1) {
        private class ScheduledTask(val dueAt: Duration, val command: Runnable, val future: ScheduledFuture<*>)

        private val tasks = mutableListOf<ScheduledTask>()

        override fun schedule(command: Runnable, delay: Long, unit: TimeUnit): ScheduledFuture<*> {
            val future = super.schedule(Callable { }, 1, TimeUnit.DAYS)
            tasks += ScheduledTask(clock.time + unit.toNanos(delay).nanoseconds, command, future)
            return future
        }

        fun advance(by: Duration) {
            val end = clock.time + by
            while (true) {
                tasks.removeAll { it.future.isCancelled }
                val next = tasks.filter { it.dueAt <= end }.minByOrNull { it.dueAt } ?: break
                tasks -= next
                next.future.cancel(false)
                clock.time = maxOf(clock.time, next.dueAt)
                next.command.run()
            }
            clock.time = maxOf(clock.time, end)
        }
    }
}
