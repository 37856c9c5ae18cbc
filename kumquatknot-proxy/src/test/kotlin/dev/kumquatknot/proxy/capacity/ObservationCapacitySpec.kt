package dev.kumquatknot.proxy.capacity

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.configuration.DatabaseConfiguration
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.databasegroup.GroupTiming
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.member.MemberReport
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.time.SystemClock
import dev.kumquatknot.proxy.adapter.standin.MemberMessages
import dev.kumquatknot.proxy.group.GroupRunner
import dev.kumquatknot.proxy.group.GroupRunnerPorts
import dev.kumquatknot.proxy.group.GroupRunnerSettings
import dev.kumquatknot.proxy.group.GroupRunnerThreads
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan
import java.lang.management.ManagementFactory
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

/** Measures the cost of observing database groups for one node: reports, their bytes and processor time. */
class ObservationCapacitySpec {
    private val counts = System.getProperty("capacity.groups", "1,5").split(",").map { it.toInt() }
    private val seconds = java.lang.Long.getLong("capacity.seconds", 1)
    private val reports = AtomicLong()

    @Test
    fun `the reports of a node's groups stay within the bandwidth budget of control traffic`() {
        counts.forEach { count ->
            val before = reports.get()
            val micros = observe(count)
            val reportsPerSecond = (reports.get() - before).toDouble() / seconds
            val bytes = reportsPerSecond * (MESSAGE_BYTES + FRAME_BYTES)
            println(
                "ObservationCapacitySpec: $count groups: $reportsPerSecond reports/s, " +
                    "${bytes.toLong()} B/s with frames, ${micros / seconds} microseconds of processor time a second",
            )
            expectThat(bytes.toLong()).isLessThan(CONTROL_BYTES_PER_SECOND)
        }
    }

    private fun observe(count: Int): Long {
        val timer = ScheduledThreadPoolExecutor(2)
        val workers = Executors.newFixedThreadPool(WORKERS)
        val runners = List(count) { runner(it, count, GroupRunnerThreads(timer, workers)) }
        val operatingSystem = ManagementFactory.getPlatformMXBean(com.sun.management.OperatingSystemMXBean::class.java)
        runners.forEach { it.start() }
        val startedAt = operatingSystem.processCpuTime
        Thread.sleep(seconds * MILLIS)
        val micros = (operatingSystem.processCpuTime - startedAt) / MILLIS
        runners.forEach { it.stop() }
        timer.shutdownNow()
        workers.shutdownNow()
        return micros
    }

    private fun runner(index: Int, count: Int, threads: GroupRunnerThreads): GroupRunner {
        val members = List(MEMBERS) {
            MemberConfiguration(MemberName("database-$index-$it"), DataCentre("centre-$it"), "10.0.0.1:1", 3, 20)
        }
        return GroupRunner(
            DatabaseConfiguration(DatabaseName("database-$index"), members),
            GroupRunnerPorts(members.mapIndexed { place, member -> port(member.name, place == 0) }),
            GroupRunnerSettings(VmName("vm-1"), incarnation = 1, timing = GroupTiming.forGroups(count)),
            threads,
            SystemClock,
        )
    }

    private fun port(member: MemberName, primary: Boolean): MemberPort {
        val notSupported: Either<MemberFailure, MemberReport> =
            MemberFailure.Unreachable(member, Step.PROMOTE, "not part of the count").left()
        return MemberPort(
            member = member,
            connect = { MemberFailure.Unreachable(member, Step.CONNECT, "not part of the count").left() },
            report = {
                reports.incrementAndGet()
                report(member, primary).right()
            },
            acceptTerm = { _, _ -> notSupported },
            promote = { _, _ -> notSupported },
            follow = { _, _, _ -> notSupported },
        )
    }

    private companion object {
        const val MEMBERS = 3
        const val WORKERS = 16
        const val MILLIS = 1_000L
        const val CONTROL_BYTES_PER_SECOND = 12_000L

        /** HTTP/2 and gRPC framing and compressed headers of a request and its answer in bytes. */
        const val FRAME_BYTES = 120L
        val MESSAGE_BYTES = MemberMessages.control(report(MemberName("database-123-1"), false).right()).serializedSize

        fun report(member: MemberName, primary: Boolean) = MemberReport(
            member = member,
            role = if (primary) MemberRole.PRIMARY else MemberRole.REPLICA,
            acceptedTerm = Term(7),
            lastEntry = HistoryPoint(Term(7), LogPosition(123_456_789)),
            primaryContactAge = if (primary) null else 12.milliseconds,
        )
    }
}
