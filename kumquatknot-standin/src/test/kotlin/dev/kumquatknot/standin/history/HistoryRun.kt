package dev.kumquatknot.standin.history

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.member.StatementResult
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.time.SystemClock
import dev.kumquatknot.standin.database.ReplicaState
import dev.kumquatknot.standin.fleet.LocalFleet
import dev.kumquatknot.standin.fleet.LocalFleet.Companion.insert
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** One run: sessions against a few nodes while faults come and go, then the state that is left. */
class HistoryRun(private val seed: Long, private val sessions: Int = 4, private val roundCount: Int = 3) {
    private val stopped = AtomicBoolean(false)
    private val failures = java.util.concurrent.ConcurrentLinkedQueue<Throwable>()

    /** Rounds of faults of this run. */
    val rounds: List<FaultRound> = FaultPlan(random(0)).rounds(roundCount)

    fun execute(): History = LocalFleet(seed, NODES, schema = SCHEMA).use { fleet ->
        val recorder = Recorder { SystemClock.elapsed() }
        val injector = FaultInjector(fleet, random(1))
        val configurations = fleet.nodes.map { ArrayList<Long>() }
        setUp(fleet)
        val threads = startSessions(fleet, recorder, injector) + startTicks(fleet, recorder, injector) + worker {
            fleet.nodes.forEachIndexed { index, node -> configurations[index] += node.configuration.number }
            Thread.sleep(SAMPLE_MILLIS)
        }
        rounds.forEach { round ->
            round.faults.forEach(injector::inject)
            Thread.sleep(round.millis)
            injector.heal()
            Thread.sleep(round.restMillis)
        }
        stopped.set(true)
        threads.forEach { it.join() }
        failures.firstOrNull()?.let { throw it }
        val operations = recorder.operations
        History(
            operations,
            configurations.indices.associateWith {
                configurations[it].toList()
            },
            settle(fleet, injector),
        )
    }

    private fun setUp(fleet: LocalFleet) {
        val rows = List(sessions) { insert(Session.account(it), 0) } + insert(Session.CLOCK_ROW, 0)
        val result = fleet.run(fleet.nodes[0], Work.Write(rows))
        check(result.isRight()) { "$result" }
    }

    private fun startSessions(fleet: LocalFleet, recorder: Recorder, injector: FaultInjector): List<Thread> {
        val pairs = SharedPairs()
        return List(sessions) { number ->
            val session =
                Session(number, fleet, recorder, random(FIRST_SESSION + number), { live(fleet, injector) }, pairs)
            worker {
                session.run()
                Thread.sleep(PACE_MILLIS)
            }
        }
    }

    /** Advances the clock row; each value is written once, and a late one never overwrites a later one. */
    private fun startTicks(fleet: LocalFleet, recorder: Recorder, injector: FaultInjector): Thread {
        val random = random(2)
        var value = 0L
        return worker {
            val next = ++value
            val node = live(fleet, injector).let { it[random.nextInt(it.size)] }
            val statement = "UPDATE item SET quantity = $next WHERE id = '${Session.CLOCK_ROW}' AND quantity < $next"
            recorder.record(sessions, node, Action.Tick(next)) {
                fleet.run(
                    fleet.nodes[node],
                    Work.Write(listOf(Statement(statement))),
                    deadline = Session.DEADLINE,
                ).ending()
            }
            Thread.sleep(PACE_MILLIS)
        }
    }

    private fun live(fleet: LocalFleet, injector: FaultInjector) = fleet.nodes.indices.filter { it !in injector.gone }

    private fun worker(step: () -> Unit): Thread = thread(isDaemon = true) {
        runCatching { while (!stopped.get()) step() }.onFailure { failures += it }
    }

    private fun settle(fleet: LocalFleet, injector: FaultInjector): FinalState {
        val node = fleet.nodes[live(fleet, injector).first()]
        val until = SystemClock.elapsed() + SETTLE_LIMIT
        var marker = 0
        while (fleet.run(node, Work.Write(listOf(insert("marker-${marker++}", 1))), deadline = 4.seconds).isLeft()) {
            check(SystemClock.elapsed() < until) { "the group takes no write after all faults were healed" }
        }
        return finalState(fleet)
    }

    private fun finalState(fleet: LocalFleet): FinalState {
        val reports = fleet.group.memberNames.map { fleet.group.report(it) }
        val primary = reports.filter { it.role == MemberRole.PRIMARY }.maxBy { it.acceptedTerm }
        val statements = listOf(
            Statement("SELECT id, quantity FROM item"),
            Statement("SELECT charge_key, COUNT(*) FROM charge GROUP BY charge_key"),
        )
        val batch = StatementBatch(RequestId("final"), primary.acceptedTerm, true, statements, BatchEnd.COMMIT)
        val connection = fleet.group.port(VmName("checker"), primary.member).connect(2.seconds)
            .fold({ error("$it") }, { it })
        val reply = connection.run(batch, 5.seconds).fold({ error("$it") }, { it })
        connection.close()
        val everything = ReplicaState(primary.acceptedTerm, primary.member, emptyList())
        val log = fleet.group.endpoint(primary.member).member.page(everything)!!.entries
        return FinalState(
            rows = reply.results[0].numbers(),
            charges = reply.results[1].numbers().mapValues { it.value.toInt() },
            points = log.map { it.point }.toSet() + HistoryPoint(Term(0), HistoryPoint.START.position),
        )
    }

    private fun StatementResult.numbers(): Map<String, Long> =
        rows.associate { (it[0] as SqlValue.Text).value to (it[1] as SqlValue.Integer).value }

    private fun random(stream: Int): UniformRandomProvider =
        RandomSource.XO_RO_SHI_RO_128_PP.create(seed * STREAMS + stream)

    companion object {
        private const val NODES = 4
        private const val FIRST_SESSION = 10
        private const val STREAMS = 1000
        private const val SAMPLE_MILLIS = 10L
        private const val PACE_MILLIS = 4L
        private val SETTLE_LIMIT = 30.seconds
        private val SCHEMA = listOf(
            "CREATE TABLE item (id VARCHAR(40) PRIMARY KEY, quantity BIGINT NOT NULL)",
            "CREATE TABLE charge (charge_key VARCHAR(40) NOT NULL, amount BIGINT NOT NULL)",
        )
    }
}
