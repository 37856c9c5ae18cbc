package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.SessionStatement
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.core.interactive.StatementPlan
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.interactive.TransactionState
import dev.kumquatknot.proxy.event.EventLog
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class InteractiveNodeSpec {
    private val loop = VirtualLoop()
    private val group = FakeGroup(loop)
    private val place = VmPlace(
        DataCentre("b"),
        listOf("a", "b", "c").associate {
            DataCentre(it) to
                Region("region-$it")
        },
    )
    private val node = InteractiveNode(place, InteractivePorts(loop, loop::schedule, group::open, EventLog()))

    private fun route(
        name: String,
        consistency: ReadConsistency,
        timeout: Duration = 800.milliseconds,
    ) = InteractiveRoute(
        name,
        FakeGroup.NAME,
        consistency,
        timeout,
        500.milliseconds,
        Rank.URGENT,
        1_500.milliseconds,
    )

    private val routes = listOf(
        route("current", ReadConsistency.CURRENT),
        route("bounded", ReadConsistency.BOUNDED_STALENESS),
        route("own", ReadConsistency.READ_YOUR_WRITES),
        route("patient", ReadConsistency.CURRENT, timeout = 4.seconds),
    ).associateBy { it.name }

    private fun configuration(number: Long, names: Set<String> = routes.keys) =
        InteractiveConfiguration(number, routes.filterKeys { it in names }, mapOf(FakeGroup.NAME to 20), 3.seconds)

    private fun startNode() {
        node.configure(configuration(1))
        node.discovered(group.discovered())
        node.start()
        loop.advance(1.seconds)
    }

    private inner class Caller(database: String) : SessionPeer {
        val replies = ArrayList<SessionReply>()
        var opening: SessionOpening? = null
        var closed = false

        init {
            node.open(database, this) { opening = it }
        }

        val session get() = (opening as SessionOpening.Opened).session

        override fun reply(reply: SessionReply) {
            replies += reply
        }

        override fun close() {
            closed = true
        }

        fun send(request: String, statement: SessionStatement) = session.submit(RequestId(request), statement)

        fun ask(request: String, statement: SessionStatement): SessionReply {
            val before = replies.size
            send(request, statement)
            repeat(MOST_STEPS) { if (replies.size == before) loop.advance(10.milliseconds) }
            return replies.last()
        }

        fun read(request: String) = ask(request, SessionStatement.Run(StatementAccess.READ, "READ 1"))

        fun write(request: String) = ask(request, SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
    }

    private fun runOf(request: String) = group.runs.filter { it.request == request }

    private val SessionReply.code get() = (result as? StatementResult.Rejected)?.code

    @Nested
    inner class `a read` {
        @Test
        fun `with bounded staleness runs at the replica nearby`() {
            startNode()
            expectThat(Caller("bounded").read("r").result).isEqualTo(StatementResult.Completed("signature-r"))
            expectThat(runOf("r").map { it.member }).containsExactly("b")
        }

        @Test
        fun `of current data runs at the primary`() {
            startNode()
            Caller("current").read("r")
            expectThat(runOf("r").map { it.member }).containsExactly("a")
        }

        @Test
        fun `of current data is never answered by a primary that lost its lead meanwhile`() {
            startNode()
            group.replicate()
            group.promote(2)
            expectThat(Caller("current").read("r").result).isEqualTo(StatementResult.Completed("signature-r"))
            expectThat(runOf("r").last().member).isEqualTo("c")
        }

        @Test
        fun `after a write of its session leaves replicas that do not have it`() {
            startNode()
            val caller = Caller("own")
            caller.write("w")
            caller.read("r")
            expectThat(runOf("r").map { it.member }).containsExactly("a")
        }

        @Test
        fun `after a write of its session runs at a replica that has it`() {
            startNode()
            val caller = Caller("own")
            caller.write("w")
            group.replicate()
            loop.advance(3.seconds)
            caller.read("r")
            expectThat(runOf("r").map { it.member }).containsExactly("b")
        }

        @Test
        fun `whose answer is lost is answered by another member`() {
            startNode()
            group.members[1].lost += "r"
            val caller = Caller("bounded")
            caller.send("r", SessionStatement.Run(StatementAccess.READ, "READ 1"))
            loop.advance(700.milliseconds)
            expectThat(caller.replies.single().result).isA<StatementResult.Completed>()
            expectThat(runOf("r").size).isEqualTo(2)
        }
    }

    @Nested
    inner class `a write` {
        @Test
        fun `runs once at the primary`() {
            startNode()
            Caller("own").write("w")
            expectThat(runOf("w").map { it.member }).containsExactly("a")
        }

        @Test
        fun `goes on to the new primary where the old one refused it`() {
            startNode()
            group.replicate()
            group.promote(1)
            expectThat(Caller("own").write("w").result).isA<StatementResult.Completed>()
            expectThat(runOf("w").map { it.member }).containsExactly("b")
        }

        @Test
        fun `whose answer is lost is in doubt and not sent again`() {
            startNode()
            group.members[0].lost += "w"
            val caller = Caller("own")
            caller.send("w", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            loop.advance(1.seconds)
            expectThat(caller.replies.single().code).isEqualTo(RejectionCode.IN_DOUBT)
            expectThat(runOf("w").size).isEqualTo(1)
        }

        @Test
        fun `that failed while it ran is not sent again`() {
            startNode()
            group.members[0].rejections["w"] = RejectionCode.FAILED
            expectThat(Caller("own").write("w").code).isEqualTo(RejectionCode.FAILED)
        }
    }

    @Nested
    inner class `a transaction` {
        @Test
        fun `stays on one connection, which no other session gets meanwhile`() {
            startNode()
            val caller = Caller("own")
            caller.ask("b", SessionStatement.Begin(readOnly = false))
            caller.write("w1")
            Caller("own").write("other")
            caller.write("w2")
            caller.ask("c", SessionStatement.Commit("COMMIT"))
            val connections = (runOf("w1") + runOf("w2")).map { it.connection }.toSet()
            expectThat(connections.size).isEqualTo(1)
            expectThat(runOf("other").single().connection).isNotEqualTo(connections.single())
            expectThat(group.commits).isEqualTo(2)
        }

        @Test
        fun `is rolled back where its caller leaves`() {
            startNode()
            val caller = Caller("own")
            caller.ask("b", SessionStatement.Begin(readOnly = false))
            caller.write("w")
            caller.session.disconnected()
            loop.advance(1.seconds)
            expectThat(group.commits).isEqualTo(0)
        }

        @Test
        fun `whose caller leaves before it has begun at a member runs nothing and keeps no connection`() {
            startNode()
            repeat(MOST_CONNECTIONS) { index ->
                val caller = Caller("own")
                caller.ask("b$index", SessionStatement.Begin(readOnly = false))
                caller.send("w$index", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
                caller.session.disconnected()
                loop.advance(1.seconds)
            }
            expectThat(group.runs.filter { it.request.startsWith("w") }).isEmpty()
            expectThat(Caller("own").write("next").result).isA<StatementResult.Completed>()
        }

        private fun leaveWhileValuesAreSet() {
            repeat(MOST_CONNECTIONS) { index ->
                val caller = Caller("own")
                group.beforeAnswer = { if (it is MemberCommand.SetValue) caller.session.disconnected() }
                caller.ask("s$index", SessionStatement.SetValue("zone", "$index"))
                caller.ask("b$index", SessionStatement.Begin(readOnly = false))
                caller.send("w$index", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
                loop.advance(1.seconds)
            }
            group.beforeAnswer = {}
        }

        @Test
        fun `whose caller leaves while its values are set runs nothing`() {
            startNode()
            leaveWhileValuesAreSet()
            expectThat(group.runs.filter { it.request.startsWith("w") }).isEmpty()
            expectThat(Caller("own").write("next").result).isA<StatementResult.Completed>()
        }

        @Test
        fun `whose caller leaves while its values are rejected keeps no connection`() {
            startNode()
            group.members[0].rejectsValues = true
            leaveWhileValuesAreSet()
            expectThat(Caller("own").write("next").result).isA<StatementResult.Completed>()
        }

        @Test
        fun `that has failed takes nothing but its end, and does not commit`() {
            startNode()
            group.members[0].rejections["w"] = RejectionCode.BUSY
            val caller = Caller("own")
            caller.ask("b", SessionStatement.Begin(readOnly = false))
            expectThat(caller.write("w").state).isEqualTo(TransactionState.FAILED)
            expectThat(caller.read("r").code).isEqualTo(RejectionCode.MALFORMED)
            val end = caller.ask("c", SessionStatement.Commit("COMMIT"))
            expectThat(end.code).isEqualTo(RejectionCode.ABORTED)
            expectThat(end.state).isEqualTo(TransactionState.IDLE)
        }

        @Test
        fun `whose commit gets no answer is in doubt`() {
            startNode()
            group.members[0].lost += "c"
            val caller = Caller("own")
            caller.ask("b", SessionStatement.Begin(readOnly = false))
            caller.write("w")
            caller.ask("c", SessionStatement.Commit("COMMIT"))
            loop.advance(1.seconds)
            expectThat(caller.replies.last().code).isEqualTo(RejectionCode.IN_DOUBT)
        }

        @Test
        fun `that idles too long is rolled back and says so at its next statement`() {
            startNode()
            val caller = Caller("own")
            caller.ask("b", SessionStatement.Begin(readOnly = false))
            caller.write("w")
            loop.advance(4.seconds)
            expectThat(caller.write("late").code).isEqualTo(RejectionCode.ABORTED)
            expectThat(runOf("late")).isEmpty()
        }
    }

    @Nested
    inner class `session values and plans` {
        @Test
        fun `are there wherever a statement runs, and nobody else's`() {
            startNode()
            val first = Caller("bounded")
            first.ask("s", SessionStatement.SetValue("v", "1"))
            first.read("r1")
            Caller("bounded").read("r2")
            first.read("r3")
            expectThat(listOf("r1", "r2", "r3").map { runOf(it).single().values })
                .containsExactly(mapOf("v" to "1"), emptyMap(), mapOf("v" to "1"))
        }

        @Test
        fun `run under the caller's name whatever the connection calls them`() {
            startNode()
            val caller = Caller("bounded")
            caller.ask("p", SessionStatement.Prepare("s1", StatementPlan(StatementAccess.READ, "q2c")))
            expectThat(caller.ask("e", SessionStatement.Execute("s1", "1a4")).result).isA<StatementResult.Completed>()
            caller.ask("d", SessionStatement.Deallocate("s1"))
            expectThat(
                caller.ask("f", SessionStatement.Execute("s1", "1a4")).code,
            ).isEqualTo(RejectionCode.UNKNOWN_PLAN)
        }
    }

    @Nested
    inner class `a session` {
        @Test
        fun `waits for the first configuration of a node that has just started`() {
            val caller = Caller("own")
            expectThat(caller.opening).isEqualTo(null)
            startNode()
            expectThat(caller.opening).isA<SessionOpening.Opened>()
        }

        @Test
        fun `is not opened on a database that does not exist`() {
            startNode()
            expectThat(Caller("none").opening).isA<SessionOpening.Rejected>()
                .get { code }.isEqualTo(RejectionCode.UNKNOWN_DATABASE)
        }

        @Test
        fun `ends with the route that it was opened on, at its next statement`() {
            startNode()
            val caller = Caller("own")
            node.configure(configuration(2, setOf("bounded")))
            expectThat(caller.read("r").code).isEqualTo(RejectionCode.UNKNOWN_DATABASE)
            expectThat(caller.closed).isTrue()
        }

        @Test
        fun `keeps the newest configuration when an older one comes late`() {
            startNode()
            node.configure(configuration(3))
            node.configure(configuration(2, emptySet()))
            expectThat(node.configuration.number).isEqualTo(3)
        }
    }

    @Nested
    inner class `a node that has just started` {
        @Test
        fun `opens one connection to a member until it knows how many others hold`() {
            group.members[0].hidesReports = true
            node.configure(configuration(1))
            node.discovered(group.discovered())
            node.start()
            repeat(MOST_CONNECTIONS) {
                Caller("current").send("w$it", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            }
            loop.advance(100.milliseconds)
            expectThat(group.members[0].opened).isEqualTo(1)
        }
    }

    @Nested
    inner class `a transaction that takes the first connection` {
        @Test
        fun `does not keep other sessions from having one`() {
            node.configure(configuration(1))
            node.discovered(group.discovered())
            node.start()
            val first = Caller("current")
            first.send("b", SessionStatement.Begin(readOnly = false))
            first.send("w1", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            val second = Caller("current")
            second.send("w2", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            loop.advance(50.milliseconds)
            expectThat(second.replies.map { it.result }).containsExactly(StatementResult.Completed("signature-w2"))
        }
    }

    @Nested
    inner class `connections that are slow to open` {
        @Test
        fun `do not make the member look slow`() {
            group.members[0].openingTime = 150.milliseconds
            startNode()
            val holder = Caller("own")
            holder.ask("b", SessionStatement.Begin(readOnly = false))
            holder.write("held")
            expectThat(Caller("current").write("w").result).isA<StatementResult.Completed>()
            val lane = node.groupLanes.single().all.first { it.member.name.value == "a" }
            expectThat(lane.serviceTime).isLessThan(10.milliseconds)
        }
    }

    @Nested
    inner class `a primary that is lost` {
        private fun losePrimary() {
            startNode()
            group.replicate()
            group.members[0].dark = true
            // Reads keep the replicas answering, so that nobody asks them because they are quiet.
            val reader = Caller("bounded")
            repeat(SILENT_STEPS) {
                reader.send("r$it", SessionStatement.Run(StatementAccess.READ, "READ 1"))
                loop.advance(100.milliseconds)
            }
        }

        private fun replacePrimary() {
            group.promote(1)
            loop.advance(300.milliseconds)
        }

        @Test
        fun `is followed by the new one within moments, also where another VM decides failovers`() {
            losePrimary()
            replacePrimary()
            expectThat(node.groupLanes.single().belief.primary?.value).isEqualTo("b")
        }

        @Test
        fun `fails two questions in a row before it has been silent for 1,300 ms, though its connections are gone`() {
            startNode()
            node.decidesFailovers = true
            group.members[0].dark = true
            loop.advance(1_300.milliseconds)
            val lane = node.groupLanes.single().all.first { it.member.name.value == "a" }
            expectThat(lane.health.failures).isGreaterThanOrEqualTo(2)
        }

        @Test
        fun `holds a write back that has the time to wait for the new one`() {
            losePrimary()
            val caller = Caller("patient")
            caller.send("w", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            loop.advance(1.seconds)
            expectThat(caller.replies).isEmpty()
            replacePrimary()
            expectThat(caller.replies.single().result).isEqualTo(StatementResult.Completed("signature-w"))
            expectThat(runOf("w").map { it.member }).containsExactly("b")
        }

        @Test
        fun `rejects at once what has no time to wait for the new one`() {
            losePrimary()
            val caller = Caller("current")
            caller.send("w", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            loop.advance(1.milliseconds)
            expectThat(caller.replies.single().code).isEqualTo(RejectionCode.BUSY)
        }

        @Test
        fun `and not replaced in the usual time holds nothing back any more`() {
            losePrimary()
            loop.advance(4.seconds)
            val caller = Caller("patient")
            caller.send("w", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            loop.advance(1.milliseconds)
            expectThat(caller.replies.single().code).isEqualTo(RejectionCode.BUSY)
        }
    }

    @Nested
    inner class `a member that is leaving` {
        @Test
        fun `gets no new reads`() {
            startNode()
            node.discovered(group.discovered(leaving = setOf("b")))
            Caller("bounded").read("r")
            expectThat(runOf("r").single().member).isNotEqualTo("b")
        }

        @Test
        fun `gets writes as a primary only until another one must have taken over`() {
            startNode()
            node.discovered(group.discovered(leaving = setOf("a")))
            expectThat(Caller("own").write("w").result).isA<StatementResult.Completed>()
            loop.advance(6.seconds)
            expectThat(Caller("own").write("late").code).isEqualTo(RejectionCode.BUSY)
        }
    }

    @Nested
    inner class `a node that is leaving` {
        @Test
        fun `is not ready, closes idle sessions and lets the others end`() {
            startNode()
            val idle = Caller("own")
            val busy = Caller("own")
            busy.ask("b", SessionStatement.Begin(readOnly = false))
            node.leave()
            node.closeIdleSessions()
            expectThat(node.isReady).isFalse()
            expectThat(idle.closed).isTrue()
            expectThat(busy.closed).isFalse()
            busy.ask("e", SessionStatement.Rollback)
            expectThat(busy.closed).isTrue()
        }
    }

    private companion object {
        const val MOST_STEPS = 100
        const val SILENT_STEPS = 15
        const val MOST_CONNECTIONS = 20
    }
}
