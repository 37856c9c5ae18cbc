package dev.kumquatknot.standin.benchmark

import dev.kumquatknot.core.admission.Admission
import dev.kumquatknot.core.admission.AdmissionQueue
import dev.kumquatknot.core.admission.WorkItem
import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.routing.GroupSnapshot
import dev.kumquatknot.core.routing.MemberAvailability
import dev.kumquatknot.core.routing.MemberSnapshot
import dev.kumquatknot.core.routing.MemberLoad
import dev.kumquatknot.core.routing.ProvenPoint
import dev.kumquatknot.core.routing.RequestNeeds
import dev.kumquatknot.core.routing.Route
import dev.kumquatknot.core.routing.Router
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.State
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/** Cost of the decisions that each request takes. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
open class DecisionBenchmark {
    private val now: Duration get() = System.nanoTime().nanoseconds
    private val router = Router({ 0.5 })
    private val facts = facts(now)
    private val free = AdmissionQueue(slots = 3)
    private val flooded = AdmissionQueue(slots = 3).also { queue -> repeat(1000) { queue.offer(item(it % 8), now) } }
    private var flood = 0

    @Benchmark
    open fun routeRead(): Route {
        val moment = now
        return router.route(RequestNeeds.Read(point(10), 200.milliseconds, moment + 1.seconds), facts, moment)
    }

    @Benchmark
    open fun admitAndRelease(): Any {
        val moment = now
        val granted = free.offer(item(0), moment) as Admission.Granted
        return free.release(granted.ticket, moment, 5.milliseconds)
    }

    @Benchmark
    open fun refuseInFlood(): Any = flooded.offer(item(flood++ % 8), now)

    private fun item(kind: Int) = WorkItem(
        RequestId("request"),
        TeamName("team"),
        KindName("kind-$kind"),
        Rank.STANDARD,
        floorPercent = 5,
        target = 200.milliseconds,
        deadline = now + 20.milliseconds,
    )

    private fun facts(now: Duration) = GroupSnapshot(
        Term(1),
        MemberName("a"),
        listOf("a", "b", "c").map { member(it) },
        List(64) { ProvenPoint(point(it.toLong()), now - 13.seconds + 200.milliseconds * it) },
    )

    private fun member(name: String) = MemberSnapshot(
        MemberName(name),
        MemberAvailability.AVAILABLE,
        point(20),
        20.milliseconds,
        2.milliseconds,
        MemberLoad(3, 2, 1, 1.milliseconds, 5.milliseconds),
    )

    private fun point(position: Long) = HistoryPoint(Term(1), LogPosition(position))
}
