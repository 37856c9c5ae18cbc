package dev.kumquatknot.standin.database

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.MemberConnection
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.TermProposal
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.first
import strikt.assertions.get
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DatabaseGroupSpec {
    private val clock = ManualClock()
    private val group = DatabaseGroup(groupSettings(), clock) {}

    @AfterEach
    fun close() = group.close()

    private fun port(member: MemberName, from: VmName = vm) = group.port(from, member)

    private fun connect(member: MemberName, from: VmName = vm) = port(member, from).connect(answerTimeout).value()

    private fun replicate() {
        clock.advance(1.seconds)
        group.replicateNow()
    }

    private fun proposal(term: Long, proposer: VmName = vm) = TermProposal(Term(term), proposer)

    private fun failOver(to: MemberName, term: Long, accepting: List<MemberName>) {
        accepting.forEach { port(it).acceptTerm(proposal(term), answerTimeout).value() }
        port(to).promote(proposal(term), answerTimeout).value()
    }

    @Nested
    inner class `a running group` {
        @Test
        fun `starts with the first member as primary of term 1`() {
            expectThat(group.report(a)) {
                get { role }.isEqualTo(MemberRole.PRIMARY)
                get { acceptedTerm }.isEqualTo(Term(1))
                get { primaryContactAge }.isNull()
            }
            expectThat(group.report(b)) {
                get { role }.isEqualTo(MemberRole.REPLICA)
                get { primaryContactAge }.isNotNull()
            }
        }

        @Test
        fun `returns the history point of its log entry for a commit`() {
            val before = group.report(a).lastEntry.position.value
            val reply = connect(a).send(insert(1)).value()
            expectThat(reply.point).isEqualTo(HistoryPoint(Term(1), LogPosition(before + 1)))
        }

        @Test
        fun `makes an entry visible at a replica once the lag has passed since the commit`() {
            group.replicateNow()
            replicate()
            connect(a).send(insert(1))
            clock.advance(4.milliseconds)
            group.replicateNow()
            expectThat(connect(b).ids(1)).isEmpty()
            clock.advance(1.milliseconds)
            group.replicateNow()
            expectThat(connect(b).ids(1)).containsExactly(1L)
            expectThat(group.report(b).lastEntry).isEqualTo(group.report(a).lastEntry)
        }

        @Test
        fun `rejects a change at a replica`() {
            expectThat(connect(b).send(insert(1)).failure()).isA<MemberFailure.NotPrimary>()
        }

        @Test
        fun `rejects a change in a term that the primary has not accepted`() {
            expectThat(connect(a).send(insert(1, term = 2)).failure()).isA<MemberFailure.NotPrimary>()
            expectThat(connect(a).ids(1)).isEmpty()
        }

        @Test
        fun `rolls a transaction back when a statement fails`() {
            val connection = connect(a)
            connection.send(insert(1, end = BatchEnd.KEEP_OPEN)).value()
            expectThat(connection.send(insert(1)).failure()).isA<MemberFailure.StatementFailed>()
                .get { sqlState }.isEqualTo("23505")
            expectThat(connection.ids(1)).isEmpty()
        }

        @Test
        fun `hides the changes of an open transaction from other connections`() {
            val writer = connect(a)
            val reader = connect(a)
            writer.send(insert(1, end = BatchEnd.KEEP_OPEN)).value()
            expectThat(reader.ids(1)).isEmpty()
            writer.send(batch(1)).value()
            expectThat(reader.ids(1)).containsExactly(1L)
        }

        @Test
        fun `fails a change in a transaction whose snapshot is outdated`() {
            val slow = connect(a)
            slow.send(batch(1, "SELECT * FROM costume", readOnly = true, end = BatchEnd.KEEP_OPEN)).value()
            connect(a).send(insert(1)).value()
            expectThat(slow.send(insert(2)).failure()).isA<MemberFailure.StatementFailed>()
                .get { sqlState }.isEqualTo(SqlStates.SERIALIZATION_FAILURE)
        }

        @Test
        fun `rejects a change that is not deterministic`() {
            val outcome = connect(a).send(batch(1, "INSERT INTO costume VALUES (1, CAST(RANDOM_UUID() AS VARCHAR))"))
            expectThat(outcome.failure()).isA<MemberFailure.StatementFailed>()
                .get { sqlState }.isEqualTo(SqlStates.NOT_SUPPORTED)
        }

        @Test
        fun `rejects a change in a read-only batch`() {
            val outcome = connect(a).send(batch(1, "DELETE FROM costume", readOnly = true))
            expectThat(outcome.failure()).isA<MemberFailure.StatementFailed>()
                .get { sqlState }.isEqualTo(SqlStates.READ_ONLY_TRANSACTION)
        }

        @Test
        fun `binds parameters and returns values by their types`() {
            val values = listOf(
                SqlValue.Integer(7),
                SqlValue.Text("O'Hara"),
                SqlValue.Bool(true),
                SqlValue.Real(1.5),
                SqlValue.Null,
            )
            val text =
                "SELECT CAST(? AS BIGINT), CAST(? AS VARCHAR), CAST(? AS BOOLEAN), CAST(? AS DOUBLE PRECISION), " +
                    "CAST(? AS VARCHAR)"
            val batch = batch(1, readOnly = true).copy(statements = listOf(Statement(text, values)))
            expectThat(connect(a).send(batch).value().results.single().rows).containsExactly(listOf(values))
        }

        @Test
        fun `accepts no more connections than its limit`() {
            val connections = List(4) { connect(a) }
            expectThat(port(a).connect(answerTimeout).failure()).isA<MemberFailure.TooManyConnections>()
            connections.first().close()
            connect(a)
        }
    }

    @Nested
    inner class `the term rules` {
        @Test
        fun `let one of two proposers win a term`() {
            port(b).acceptTerm(proposal(2), answerTimeout).value()
            port(c, otherVm).acceptTerm(proposal(2, otherVm), answerTimeout).value()
            expectThat(port(b, otherVm).acceptTerm(proposal(2, otherVm), answerTimeout).failure())
                .isA<MemberFailure.LowerTerm>()
            expectThat(port(b, otherVm).promote(proposal(2, otherVm), answerTimeout).failure())
                .isA<MemberFailure.LowerTerm>()
            port(b).promote(proposal(2), answerTimeout).value()
        }

        @Test
        fun `accept the same proposal again`() {
            val first = port(b).acceptTerm(proposal(2), answerTimeout).value()
            expectThat(port(b).acceptTerm(proposal(2), answerTimeout).value()).isEqualTo(first)
            val promoted = port(b).promote(proposal(2), answerTimeout).value()
            expectThat(port(b).promote(proposal(2), answerTimeout).value()).isEqualTo(promoted)
        }

        @Test
        fun `promote only in a term accepted before`() {
            expectThat(port(b).promote(proposal(2), answerTimeout).failure()).isA<MemberFailure.NotPrimary>()
        }

        @Test
        fun `start a term with an entry of its own`() {
            replicate()
            val before = group.report(b).lastEntry
            failOver(b, 2, listOf(b, c))
            expectThat(group.report(b)) {
                get { role }.isEqualTo(MemberRole.PRIMARY)
                get { lastEntry }.isEqualTo(HistoryPoint(Term(2), LogPosition(before.position.value + 1)))
            }
        }

        @Test
        fun `keep a superseded primary from committing an open transaction`() {
            val connection = connect(a)
            connection.send(insert(1, end = BatchEnd.KEEP_OPEN)).value()
            port(a).acceptTerm(proposal(2), answerTimeout).value()
            expectThat(connection.send(batch(1)).failure()).isA<MemberFailure.LowerTerm>()
                .get { acceptedTerm }.isEqualTo(Term(2))
            expectThat(connect(a).ids(2)).isEmpty()
        }

        @Test
        fun `keep open transactions when a proposal is repeated`() {
            port(a).acceptTerm(proposal(2), answerTimeout).value()
            port(a).promote(proposal(2), answerTimeout).value()
            val connection = connect(a)
            connection.send(insert(1, term = 2, end = BatchEnd.KEEP_OPEN)).value()
            port(a).acceptTerm(proposal(2), answerTimeout).value()
            connection.send(batch(2)).value()
            expectThat(connect(a).ids(2)).containsExactly(1L)
        }

        @Test
        fun `reject reads and changes of a lower term`() {
            port(a).acceptTerm(proposal(2), answerTimeout).value()
            expectThat(connect(a).send(insert(1)).failure()).isA<MemberFailure.LowerTerm>()
            expectThat(connect(a).send(batch(1, "SELECT 1", readOnly = true)).failure())
                .isA<MemberFailure.LowerTerm>()
        }

        @Test
        fun `stop a replica from replicating the primary of a lower term`() {
            replicate()
            port(b).acceptTerm(proposal(2), answerTimeout).value()
            val before = group.report(b).lastEntry
            connect(a).send(insert(1)).value()
            replicate()
            expectThat(group.report(b).lastEntry).isEqualTo(before)
            expectThat(group.report(c).lastEntry).isEqualTo(group.report(a).lastEntry)
        }

        @Test
        fun `reject following in a lower term`() {
            failOver(b, 2, listOf(b, c))
            expectThat(port(c).follow(Term(1), a, answerTimeout).failure()).isA<MemberFailure.LowerTerm>()
            expectThat(port(b).follow(Term(2), a, answerTimeout).failure()).isA<MemberFailure.LowerTerm>()
        }
    }

    @Nested
    inner class `a failover` {
        @Test
        fun `keeps replicated writes and loses only the unreplicated tail`() {
            connect(a).send(insert(1)).value()
            replicate()
            group.set(a, MemberFault.IsolateFromMembers)
            connect(a).send(insert(2)).value()
            replicate()
            failOver(b, 2, listOf(b, c))
            port(c).follow(Term(2), b, answerTimeout).value()
            connect(b).send(insert(3, term = 2)).value()
            replicate()
            expectThat(connect(c).ids(2)).containsExactly(1L, 3L)
        }

        @Test
        fun `discards the tail of a former primary when it follows`() {
            connect(a).send(insert(1)).value()
            replicate()
            group.set(a, MemberFault.IsolateFromMembers)
            connect(a).send(insert(2)).value()
            val writer = connect(a)
            writer.send(insert(4, end = BatchEnd.KEEP_OPEN)).value()
            failOver(b, 2, listOf(b, c))
            connect(b).send(insert(3, term = 2)).value()
            group.set(a, MemberFault.Heal)
            expectThat(port(a).follow(Term(2), b, answerTimeout).value().role).isEqualTo(MemberRole.REPLICA)
            expectThat(writer.send(batch(1)).failure()).isA<MemberFailure.LowerTerm>()
            replicate()
            expectThat(connect(a).ids(2)).containsExactly(1L, 3L)
            expectThat(group.report(a).lastEntry).isEqualTo(group.report(b).lastEntry)
        }

        @Test
        fun `lets the age of the primary contact grow while the primary is stopped`() {
            replicate()
            expectThat(group.report(b).primaryContactAge).isNotNull().isLessThan(1.milliseconds)
            group.set(a, MemberFault.Stop)
            replicate()
            replicate()
            expectThat(group.report(b).primaryContactAge).isNotNull().isGreaterThanOrEqualTo(2.seconds)
        }
    }

    @Nested
    inner class `the fault switches` {
        private val shortTimeout = 100.milliseconds
        private val commitTimeout = 1.seconds

        @Test
        fun `isolate a member from some VMs only`() {
            val connection = connect(a)
            group.set(a, MemberFault.IsolateFromVms(setOf(vm)))
            expectThat(connection.run(insert(1), shortTimeout).failure()).isA<MemberFailure.NoAnswer>()
            expectThat(port(a).connect(shortTimeout).failure()).isA<MemberFailure.Unreachable>()
            expectThat(port(a).report(shortTimeout).failure()).isA<MemberFailure.NoAnswer>()
            expectThat(connect(a, otherVm).ids(1)).isEmpty()
            group.set(a, MemberFault.Heal)
            port(a).report(answerTimeout).value()
        }

        @Test
        fun `stop a member and lose its connections and open transactions`() {
            val connection = connect(a)
            connection.send(insert(1, end = BatchEnd.KEEP_OPEN)).value()
            group.set(a, MemberFault.Stop)
            expectThat(connection.send(batch(1)).failure()).isA<MemberFailure.Unreachable>()
            expectThat(port(a).connect(answerTimeout).failure()).isA<MemberFailure.Unreachable>()
            expectThat(port(a).report(answerTimeout).failure()).isA<MemberFailure.Unreachable>()
            group.set(a, MemberFault.Start)
            expectThat(connect(a).ids(1)).isEmpty()
        }

        @Test
        fun `silence the open connections while new ones work`() {
            val silent = connect(a)
            group.set(a, MemberFault.SilenceConnections)
            expectThat(silent.run(insert(1), shortTimeout).failure()).isA<MemberFailure.NoAnswer>()
            expectThat(silent.run(insert(2), shortTimeout).failure()).isA<MemberFailure.Unreachable>()
            expectThat(connect(a).ids(1).contains(2L)).isEqualTo(false)
        }

        @Test
        fun `replace a silenced control connection by a new one`() {
            val port = port(a)
            group.set(a, MemberFault.SilenceConnections)
            expectThat(port.report(shortTimeout).failure()).isA<MemberFailure.NoAnswer>()
            port.report(answerTimeout).value()
        }

        @Test
        fun `lose the answer of a commit after its effect`() {
            group.set(a, MemberFault.LoseCommitAnswers(1))
            expectThat(connect(a).run(insert(1), commitTimeout).failure()).isA<MemberFailure.NoAnswer>()
            expectThat(connect(a).ids(1)).containsExactly(1L)
            connect(a).send(insert(2)).value()
        }

        @Test
        fun `delay answers beyond the timeout`() {
            group.set(a, MemberFault.DelayAnswers(2 * commitTimeout.inWholeMilliseconds))
            expectThat(connect(a).run(insert(1), commitTimeout).failure()).isA<MemberFailure.NoAnswer>()
            group.set(a, MemberFault.Heal)
            expectThat(connect(a).ids(1)).containsExactly(1L)
        }

        @Test
        fun `stop replication from an isolated primary`() {
            replicate()
            val before = group.report(b).lastEntry
            group.set(a, MemberFault.IsolateFromMembers)
            val committed = connect(a).send(insert(1)).value().point
            replicate()
            expectThat(group.report(b).lastEntry).isEqualTo(before)
            group.set(a, MemberFault.Heal)
            replicate()
            expectThat(group.report(b).lastEntry).isEqualTo(committed)
        }

        @Test
        fun `set the lag of one replica`() {
            replicate()
            val before = group.report(c).lastEntry
            group.set(c, MemberFault.SetReplicationLag(1_500))
            val committed = connect(a).send(insert(1)).value().point
            replicate()
            expectThat(group.report(b).lastEntry).isEqualTo(committed)
            expectThat(group.report(c).lastEntry).isEqualTo(before)
            replicate()
            expectThat(group.report(c).lastEntry).isEqualTo(committed)
        }

        @Test
        fun `slow a member down`() {
            var spent = Duration.ZERO
            DatabaseGroup(groupSettings(DatabaseTiming(connectMillis = 0, serviceMicros = 2_000)), clock) { spent = it }
                .use { slow ->
                    val connection = slow.port(vm, a).connect(answerTimeout).value()
                    slow.set(a, MemberFault.SlowDown(5.0))
                    connection.ids(1)
                }
            expectThat(spent).isEqualTo(10.milliseconds)
        }
    }

    @Nested
    inner class `concurrent transactions` {
        private val threadCount = 3
        private val commitsPerThread = 40

        private fun count(connection: MemberConnection) {
            repeat(commitsPerThread) { number ->
                do {
                    val read = batch(1, "SELECT id FROM costume WHERE state = 'counter'", readOnly = true)
                    val next = connection.send(read.copy(end = BatchEnd.KEEP_OPEN)).value().results.single()
                        .rows.single().let { (it.single() as SqlValue.Integer).value + 1 }
                    val write = batch(1, "UPDATE costume SET id = $next WHERE state = 'counter'", request = "$number")
                    val outcome = connection.send(write)
                } while (outcome.isLeft())
            }
        }

        @Test
        fun `lose no update and leave all members with the same log`() {
            connect(a).also { it.send(batch(1, "INSERT INTO costume VALUES (0, 'counter')")).value() }.close()
            val workers = List(threadCount) { connect(a) }.map { thread { count(it) } }
            workers.forEach { it.join() }
            replicate()
            listOf(a, b, c).forEach { member ->
                val connection = connect(member)
                expectThat(connection.ids(1)).containsExactly((threadCount * commitsPerThread).toLong())
                connection.close()
                expectThat(group.report(member).lastEntry).isEqualTo(group.report(a).lastEntry)
            }
        }
    }

    @Nested
    inner class `a VM in another data centre` {
        @Test
        fun `has the latency in both directions of a call`() {
            val far = groupSettings(DatabaseTiming(connectMillis = 0, serviceMicros = 0, dataCentreLatencyMillis = 20))
                .copy(vms = mapOf(vm to DataCentre("rosario-a"), otherVm to DataCentre("mendoza-a")))
            DatabaseGroup(far, clock) {}.use { distantGroup ->
                val connection = distantGroup.port(vm, a).connect(answerTimeout).value()
                val sentAt = System.nanoTime()
                connection.send(insert(1)).value()
                val reportedAt = System.nanoTime()
                distantGroup.port(vm, a).report(answerTimeout).value()
                expectThat(reportedAt - sentAt).isGreaterThanOrEqualTo(40.milliseconds.inWholeNanoseconds)
                expectThat(System.nanoTime() - reportedAt).isGreaterThanOrEqualTo(40.milliseconds.inWholeNanoseconds)
                expectThat(distantGroup.port(otherVm, a).connect(answerTimeout).value().ids(1)).containsExactly(1L)
            }
        }
    }

    @Nested
    inner class `replication threads` {
        @Test
        fun `replicate a commit without a call of replicateNow`() {
            DatabaseGroup(groupSettings()).use { running ->
                running.startReplication()
                val committed = running.port(vm, a).connect(answerTimeout).value().send(insert(1)).value().point
                val deadline = System.nanoTime() + answerTimeout.inWholeNanoseconds
                while (!running.report(b).lastEntry.covers(committed) && System.nanoTime() < deadline) Thread.sleep(1)
                expectThat(running.report(b).lastEntry).isEqualTo(committed)
            }
        }
    }
}
