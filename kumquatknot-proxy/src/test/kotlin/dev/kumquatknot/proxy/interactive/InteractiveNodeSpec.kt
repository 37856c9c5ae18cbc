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
import strikt.assertions.hasSize
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
        route("longTimeout", ReadConsistency.CURRENT, timeout = 4.seconds),
    ).associateBy { it.name }

    private fun configuration(number: Long, names: Set<String> = routes.keys) =
        InteractiveConfiguration(number, routes.filterKeys { it in names }, mapOf(FakeGroup.NAME to 20), 3.seconds)

    private fun startNode() {
        node.configure(configuration(1))
        node.updateMembers(group.discovered())
        node.start()
        loop.advance(1.seconds)
    }

    private inner class Caller(database: String) : SessionPeer {
        val replies = ArrayList<SessionReply>()
        var opening: SessionOpening? = null
        var closed = false

        init {
            node.open(database, null, this) { opening = it }
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
            repeat(MAXIMUM_STEPS) { if (replies.size == before) loop.advance(10.milliseconds) }
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
        fun `with bounded staleness runs at the nearest replica`() {
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
        fun `of current data is never answered by a former primary`() {
            startNode()
            group.replicate()
            group.promote(2)
            expectThat(Caller("current").read("r").result).isEqualTo(StatementResult.Completed("signature-r"))
            expectThat(runOf("r").last().member).isEqualTo("c")
        }

        @Test
        fun `after a write of its session does not run at replicas that lack the write`() {
            startNode()
            val caller = Caller("own")
            caller.write("w")
            caller.read("r")
            expectThat(runOf("r").map { it.member }).containsExactly("a")
        }

        @Test
        fun `after a write of its session runs at a replica that has the write`() {
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
            group.members[1].lostAnswers += "r"
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
        fun `is retried at the new primary after the old one rejected it`() {
            startNode()
            group.replicate()
            group.promote(1)
            expectThat(Caller("own").write("w").result).isA<StatementResult.Completed>()
            expectThat(runOf("w").map { it.member }).containsExactly("b")
        }

        @Test
        fun `whose answer is lost is in doubt and not sent again`() {
            startNode()
            group.members[0].lostAnswers += "w"
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
        fun `keeps one connection that no other session uses meanwhile`() {
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
        fun `is rolled back when its caller disconnects`() {
            startNode()
            val caller = Caller("own")
            caller.ask("b", SessionStatement.Begin(readOnly = false))
            caller.write("w")
            caller.session.disconnected()
            loop.advance(1.seconds)
            expectThat(group.commits).isEqualTo(0)
        }

        @Test
        fun `whose caller disconnects before it began at a member runs nothing and leaks no connection`() {
            startNode()
            repeat(CONNECTION_LIMIT) { index ->
                val caller = Caller("own")
                caller.ask("b$index", SessionStatement.Begin(readOnly = false))
                caller.send("w$index", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
                caller.session.disconnected()
                loop.advance(1.seconds)
            }
            expectThat(group.runs.filter { it.request.startsWith("w") }).isEmpty()
            expectThat(Caller("own").write("next").result).isA<StatementResult.Completed>()
        }

        private fun disconnectWhileValuesAreSet() {
            repeat(CONNECTION_LIMIT) { index ->
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
        fun `whose caller disconnects while its values are set runs nothing`() {
            startNode()
            disconnectWhileValuesAreSet()
            expectThat(group.runs.filter { it.request.startsWith("w") }).isEmpty()
            expectThat(Caller("own").write("next").result).isA<StatementResult.Completed>()
        }

        @Test
        fun `whose caller disconnects while its values are rejected leaks no connection`() {
            startNode()
            group.members[0].rejectsValues = true
            disconnectWhileValuesAreSet()
            expectThat(Caller("own").write("next").result).isA<StatementResult.Completed>()
        }

        @Test
        fun `that has failed accepts only its end and does not commit`() {
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
            group.members[0].lostAnswers += "c"
            val caller = Caller("own")
            caller.ask("b", SessionStatement.Begin(readOnly = false))
            caller.write("w")
            caller.ask("c", SessionStatement.Commit("COMMIT"))
            loop.advance(1.seconds)
            expectThat(caller.replies.last().code).isEqualTo(RejectionCode.IN_DOUBT)
        }

        @Test
        fun `that idles too long is rolled back and its next statement is rejected`() {
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
    inner class `a commit` {
        private val replicas get() = group.members.filter { it !== group.leader }

        private fun Caller.commit(request: String): SessionReply {
            ask("b-$request", SessionStatement.Begin(readOnly = false))
            ask("w-$request", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            return ask(request, SessionStatement.Commit("COMMIT"))
        }

        @Test
        fun `is acknowledged once one replica has received it, however late replicas apply it`() {
            startNode()
            group.members[2].receives = false
            expectThat(Caller("own").write("w").result).isA<StatementResult.Completed>()
            expectThat(Caller("own").commit("c").result).isA<StatementResult.Completed>()
        }

        @Test
        fun `that no replica receives is in doubt and not acknowledged`() {
            startNode()
            replicas.forEach { it.receives = false }
            expectThat(Caller("own").write("w").code).isEqualTo(RejectionCode.IN_DOUBT)
            expectThat(runOf("w").map { it.member }).containsExactly("a")
        }

        @Test
        fun `of a transaction that no replica receives is in doubt`() {
            startNode()
            replicas.forEach { it.receives = false }
            expectThat(Caller("own").commit("c").code).isEqualTo(RejectionCode.IN_DOUBT)
        }

        @Test
        fun `is acknowledged by the primary alone in a group without replicas`() {
            startNode()
            node.updateMembers(group.discovered().take(1))
            loop.advance(3.seconds)
            expectThat(Caller("own").write("w").result).isA<StatementResult.Completed>()
        }
    }

    @Nested
    inner class `a primary that its replicas do not receive` {
        private fun stallReplication() {
            startNode()
            group.members.drop(1).forEach { it.receives = false }
            Caller("longTimeout").send("first", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            loop.advance(1_300.milliseconds)
        }

        @Test
        fun `gets no more writes, which are rejected at once as not run`() {
            stallReplication()
            val caller = Caller("own")
            caller.send("w", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            loop.advance(1.milliseconds)
            expectThat(caller.replies.single().code).isEqualTo(RejectionCode.BUSY)
            expectThat(runOf("w")).isEmpty()
        }

        @Test
        fun `commits no open transaction that has written`() {
            startNode()
            val caller = Caller("own")
            caller.ask("b", SessionStatement.Begin(readOnly = false))
            caller.ask("w", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            group.members.drop(1).forEach { it.receives = false }
            Caller("longTimeout").send("first", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            loop.advance(1_300.milliseconds)
            val commits = group.commits
            expectThat(caller.ask("c", SessionStatement.Commit("COMMIT")).code).isEqualTo(RejectionCode.ABORTED)
            expectThat(group.commits).isEqualTo(commits)
        }

        @Test
        fun `still serves reads`() {
            stallReplication()
            expectThat(Caller("current").read("r").result).isA<StatementResult.Completed>()
        }

        @Test
        fun `gets writes again once a replica receives`() {
            stallReplication()
            group.members[1].receives = true
            loop.advance(300.milliseconds)
            expectThat(Caller("own").write("w").result).isA<StatementResult.Completed>()
        }

        @Test
        fun `no longer blocks writes once another member leads`() {
            stallReplication()
            group.promote(1)
            group.members[2].receives = true
            loop.advance(2.seconds)
            expectThat(Caller("own").write("w").result).isA<StatementResult.Completed>()
            expectThat(runOf("w").single().member).isEqualTo("b")
        }
    }

    @Nested
    inner class `session values and plans` {
        @Test
        fun `are set on every connection a statement runs on, without those of other sessions`() {
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
        fun `run under the caller's name for them whatever their name on the connection`() {
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
        fun `is closed at its next statement after its route was removed`() {
            startNode()
            val caller = Caller("own")
            node.configure(configuration(2, setOf("bounded")))
            expectThat(caller.read("r").code).isEqualTo(RejectionCode.UNKNOWN_DATABASE)
            expectThat(caller.closed).isTrue()
        }

        /** The session was once closed before the answers to statements that were queued behind the first one. */
        @Test
        fun `is closed after its route was removed only when all its statements are answered`() {
            startNode()
            val caller = Caller("own")
            group.members.forEach { it.workOf = { 300.milliseconds } }
            listOf("r", "s", "t").forEach { caller.send(it, SessionStatement.Run(StatementAccess.READ, "READ 1")) }
            node.configure(configuration(2, setOf("bounded")))
            loop.advance(1.seconds)
            expectThat(caller.replies.map { it.code })
                .containsExactly(null, RejectionCode.UNKNOWN_DATABASE, RejectionCode.UNKNOWN_DATABASE)
            expectThat(caller.closed).isTrue()
        }

        @Test
        fun `keeps the newest configuration when an older one arrives late`() {
            startNode()
            node.configure(configuration(3))
            node.configure(configuration(2, emptySet()))
            expectThat(node.configuration.number).isEqualTo(3)
        }
    }

    @Nested
    inner class `a node that has just started` {
        @Test
        fun `opens one connection to a member until the member has reported its connection count`() {
            group.members[0].hidesReports = true
            node.configure(configuration(1))
            node.updateMembers(group.discovered())
            node.start()
            repeat(CONNECTION_LIMIT) {
                Caller("current").send("w$it", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            }
            loop.advance(100.milliseconds)
            expectThat(group.members[0].opened).isEqualTo(1)
        }
    }

    @Nested
    inner class `a member whose connections were all taken` {
        /** As after a loss of all VMs: the member counts connections of lost VMs for 3 s, and then no longer. */
        @Test
        fun `gets more connections soon after others have closed theirs`() {
            group.members.forEach { it.connections = CONNECTION_LIMIT }
            startNode()
            group.members.forEach { it.connections = 2 }
            val openedBefore = group.members[0].opened
            val holders = List(3) { Caller("current") }
            holders.forEachIndexed { index, caller ->
                caller.send("b$index", SessionStatement.Begin(readOnly = false))
                caller.send("r$index", SessionStatement.Run(StatementAccess.READ, "READ 1"))
            }
            loop.advance(400.milliseconds)
            expectThat(group.members[0].opened - openedBefore).isGreaterThanOrEqualTo(1)
        }
    }

    @Nested
    inner class `a transaction that takes the first connection` {
        @Test
        fun `does not keep other sessions from getting one`() {
            group.appliesAtOnce = true
            node.configure(configuration(1))
            node.updateMembers(group.discovered())
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
        fun `do not count as service time of the member`() {
            group.members[0].openingTime = 150.milliseconds
            startNode()
            val holder = Caller("own")
            holder.ask("b", SessionStatement.Begin(readOnly = false))
            holder.write("held")
            expectThat(Caller("current").write("w").result).isA<StatementResult.Completed>()
            val pool = node.groupPools.single().all.first { it.member.name.value == "a" }
            expectThat(pool.serviceTime).isLessThan(10.milliseconds)
        }
    }

    @Nested
    inner class `a primary that is lost` {
        private fun losePrimary() {
            startNode()
            group.replicate()
            group.members[0].unreachable = true
            // Reads keep the replicas answering, so that they are not polled for a lack of answers.
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
        fun `is replaced by the new primary within 300 ms even if another VM decides failovers`() {
            losePrimary()
            replacePrimary()
            expectThat(node.groupPools.single().belief.primary?.value).isEqualTo("b")
        }

        @Test
        fun `has two consecutive failed polls within 1,300 ms even without open connections`() {
            startNode()
            node.decidesFailovers = true
            group.members[0].unreachable = true
            loop.advance(1_300.milliseconds)
            val pool = node.groupPools.single().all.first { it.member.name.value == "a" }
            expectThat(pool.health.failures).isGreaterThanOrEqualTo(2)
        }

        @Test
        fun `delays a write that has enough time to wait for the new primary`() {
            losePrimary()
            val caller = Caller("longTimeout")
            caller.send("w", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            loop.advance(1.seconds)
            expectThat(caller.replies).isEmpty()
            replacePrimary()
            expectThat(caller.replies.single().result).isEqualTo(StatementResult.Completed("signature-w"))
            expectThat(runOf("w").map { it.member }).containsExactly("b")
        }

        @Test
        fun `causes immediate rejection of a write that has no time to wait for the new primary`() {
            losePrimary()
            val caller = Caller("current")
            caller.send("w", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            loop.advance(1.milliseconds)
            expectThat(caller.replies.single().code).isEqualTo(RejectionCode.BUSY)
        }

        @Test
        fun `and not replaced in the usual time delays no more writes`() {
            losePrimary()
            loop.advance(4.seconds)
            val caller = Caller("longTimeout")
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
            node.updateMembers(group.discovered(leaving = setOf("b")))
            Caller("bounded").read("r")
            expectThat(runOf("r").single().member).isNotEqualTo("b")
        }

        @Test
        fun `gets writes as a primary only for the time of a handover`() {
            startNode()
            node.updateMembers(group.discovered(leaving = setOf("a")))
            expectThat(Caller("own").write("w").result).isA<StatementResult.Completed>()
            loop.advance(6.seconds)
            expectThat(Caller("own").write("late").code).isEqualTo(RejectionCode.BUSY)
        }
    }

    @Nested
    inner class `a session with many queued statements` {
        private val count = 100_000

        private fun queue(): Caller {
            startNode()
            group.members.forEach { it.workOf = { 300.milliseconds } }
            return Caller("own").also { caller ->
                caller.send("r", SessionStatement.Run(StatementAccess.READ, "READ 1"))
                loop.advance(20.milliseconds)
                repeat(count) { caller.send("s", SessionStatement.SetValue("a", "$it")) }
            }
        }

        /** Each statement that was answered at once used some of the stack for the next one, until it was exceeded. */
        @Test
        fun `answers them all`() {
            val caller = queue()
            loop.advance(1.seconds)
            expectThat(caller.replies).hasSize(count + 1)
            expectThat(caller.replies.all { it.result is StatementResult.Completed }).isTrue()
        }

        @Test
        fun `answers them all when the node ends the sessions`() {
            val caller = queue()
            node.leave()
            node.endSessions()
            expectThat(caller.replies).hasSize(count + 1)
            expectThat(caller.closed).isTrue()
        }
    }

    @Nested
    inner class `a node that is leaving` {
        @Test
        fun `is not ready, closes idle sessions at once and the others when they become idle`() {
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

        private fun leave() {
            node.leave()
            node.closeIdleSessions()
            node.interruptTransactions()
        }

        private fun callerInTransaction() = Caller("own").also { caller ->
            caller.ask("b", SessionStatement.Begin(readOnly = false))
            caller.write("t")
        }

        private fun slowStatements() = group.members.forEach { member ->
            member.workOf = { command ->
                val isSlow = command is MemberCommand.Run || command is MemberCommand.Commit
                if (isSlow) 300.milliseconds else Duration.ZERO
            }
        }

        /** Such a transaction once went on until the process ended, which cut off the statement that ran then. */
        @Test
        fun `answers a statement that runs in a transaction and then rolls the transaction back`() {
            startNode()
            val caller = callerInTransaction()
            slowStatements()
            caller.send("u", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            loop.advance(20.milliseconds)
            leave()
            loop.advance(400.milliseconds)
            expectThat(caller.replies.last().result).isEqualTo(StatementResult.Completed("signature-u"))
            expectThat(caller.read("r").code).isEqualTo(RejectionCode.ABORTED)
            expectThat(runOf("r")).isEmpty()
            expectThat(caller.closed).isFalse()
            caller.ask("e", SessionStatement.Rollback)
            expectThat(caller.closed).isTrue()
            expectThat(group.commits).isEqualTo(0L)
        }

        @Test
        fun `finishes a commit that runs and refuses the next operation of the session`() {
            startNode()
            val caller = callerInTransaction()
            slowStatements()
            caller.send("c", SessionStatement.Commit("COMMIT"))
            caller.send("w", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            loop.advance(20.milliseconds)
            leave()
            loop.advance(400.milliseconds)
            expectThat(caller.replies.takeLast(2).map { it.code }).containsExactly(null, RejectionCode.BUSY)
            expectThat(caller.closed).isTrue()
            expectThat(runOf("w")).isEmpty()
        }

        /** Statements that a member ran when the process ended once got no answer. */
        @Test
        fun `answers all statements before it ends the sessions`() {
            startNode()
            val committing = callerInTransaction()
            val open = callerInTransaction()
            slowStatements()
            committing.send("c", SessionStatement.Commit("COMMIT"))
            open.send("v", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x"))
            open.send("queued", SessionStatement.Commit("COMMIT"))
            val writing = Caller("own").also { it.send("w", SessionStatement.Run(StatementAccess.WRITE, "WRITE 1 x")) }
            val reading = Caller("own").also { it.send("r", SessionStatement.Run(StatementAccess.READ, "READ 1")) }
            loop.advance(20.milliseconds)
            leave()
            node.endSessions()
            expectThat(committing.replies.drop(2).map { it.code }).containsExactly(RejectionCode.IN_DOUBT)
            expectThat(open.replies.drop(2).map { it.code })
                .containsExactly(RejectionCode.ABORTED, RejectionCode.ABORTED)
            expectThat(writing.replies.map { it.code }).containsExactly(RejectionCode.IN_DOUBT)
            expectThat(reading.replies.map { it.code }).containsExactly(RejectionCode.ABORTED)
            expectThat(listOf(committing, open, writing, reading).map { it.closed }.toSet()).containsExactly(true)
            expectThat(node.openSessions).isEqualTo(0)
            loop.advance(1.seconds)
            expectThat(committing.replies).hasSize(3)
            expectThat(writing.replies).hasSize(1)
        }
    }

    private companion object {
        const val MAXIMUM_STEPS = 100
        const val SILENT_STEPS = 15
        const val CONNECTION_LIMIT = 20
    }
}
