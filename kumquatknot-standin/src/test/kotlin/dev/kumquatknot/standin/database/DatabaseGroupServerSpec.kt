package dev.kumquatknot.standin.database

import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.MemberConnection
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.TermProposal
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.proxy.adapter.standin.StandinMembers
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DatabaseGroupServerSpec {
    private val settings = groupSettings()
    private val group = DatabaseGroup(settings, ManualClock()) {}
    private val server = DatabaseGroupServer(group, settings.database.members).apply { start() }
    private val adapter = StandinMembers(vm)
    private val otherAdapter = StandinMembers(otherVm)
    private val shortTimeout = 300.milliseconds
    private val connections = mutableListOf<MemberConnection>()

    @AfterEach
    fun close() {
        connections.forEach { it.close() }
        adapter.close()
        otherAdapter.close()
        server.close()
        group.close()
    }

    private fun port(member: MemberName, from: VmName = vm) =
        (if (from == vm) adapter else otherAdapter).port(server.addresses().single { it.name == member })

    private fun connect(member: MemberName, from: VmName = vm) = port(member, from)
        .connect(answerTimeout).onRight { connections += it }.value()

    @Nested
    inner class `a connection` {
        @Test
        fun `carries statements, parameters and results`() {
            val values = listOf(SqlValue.Integer(-7), SqlValue.Text("O'Hara"), SqlValue.Bool(true), SqlValue.Null)
            val text = "SELECT CAST(? AS BIGINT) n, CAST(? AS VARCHAR) t, CAST(? AS BOOLEAN) f, CAST(? AS VARCHAR) x"
            val batch = batch(1, readOnly = true).copy(statements = listOf(Statement(text, values)))
            val result = connect(a).send(batch).value().results.single()
            expectThat(result.columns).containsExactly("n", "t", "f", "x")
            expectThat(result.rows).containsExactly(listOf(values))
        }

        @Test
        fun `keeps a transaction open between batches`() {
            val connection = connect(a)
            connection.send(insert(1, end = BatchEnd.KEEP_OPEN)).value()
            expectThat(connect(a).ids(1)).isEmpty()
            expectThat(connection.send(batch(1)).value().point).isEqualTo(group.report(a).lastEntry)
            expectThat(connect(a).ids(1)).containsExactly(1L)
        }

        @Test
        fun `returns typed failures`() {
            expectThat(connect(b).send(insert(1)).failure()).isA<MemberFailure.NotPrimary>()
            expectThat(connect(a).send(batch(1, "SELECT nothing", readOnly = true)).failure())
                .isA<MemberFailure.StatementFailed>().get { sqlState }.isEqualTo("42S22")
            port(a).acceptTerm(TermProposal(Term(2), vm), answerTimeout).value()
            expectThat(connect(a).send(insert(1)).failure()).isEqualTo(
                MemberFailure.LowerTerm(a, Step.COMMIT, Term(2)),
            )
        }

        @Test
        fun `is refused beyond the limit and freed by closing`() {
            val open = List(4) { connect(a) }
            expectThat(port(a).connect(answerTimeout).failure()).isA<MemberFailure.TooManyConnections>()
            open.first().close()
            val deadline = System.nanoTime() + answerTimeout.inWholeNanoseconds
            var retried = port(a).connect(answerTimeout)
            while (retried.isLeft() && System.nanoTime() < deadline) retried = port(a).connect(answerTimeout)
            retried.value().close()
        }

        @Test
        fun `is closed after an answer timeout, and the late answer reaches no later request`() {
            val commitTimeout = 1.seconds
            group.set(a, MemberFault.DelayAnswers(2 * commitTimeout.inWholeMilliseconds))
            val late = connect(a)
            expectThat(late.run(insert(1), commitTimeout).failure()).isA<MemberFailure.NoAnswer>()
            group.set(a, MemberFault.Heal)
            expectThat(late.send(insert(2)).failure()).isA<MemberFailure.Unreachable>()
            expectThat(connect(a).ids(1)).containsExactly(1L)
        }

        @Test
        fun `ends at once when its member stops`() {
            val connection = connect(a)
            connection.send(insert(1, end = BatchEnd.KEEP_OPEN)).value()
            group.set(a, MemberFault.Stop)
            expectThat(connection.send(batch(1)).isLeft()).isEqualTo(true)
            expectThat(port(a).connect(answerTimeout).failure()).isA<MemberFailure.Unreachable>()
        }

        @Test
        fun `is unreachable if no server listens at the address`() {
            val stoppedMember = server.addresses().first()
            server.close()
            expectThat(adapter.port(stoppedMember).connect(answerTimeout).failure()).isA<MemberFailure.Unreachable>()
            expectThat(adapter.port(stoppedMember).report(answerTimeout).failure()).isA<MemberFailure.Unreachable>()
        }

        @Test
        fun `stays silent once silenced while a new one works`() {
            val silent = connect(a)
            group.set(a, MemberFault.SilenceConnections)
            expectThat(silent.run(batch(1, "SELECT 1", readOnly = true), shortTimeout).failure())
                .isA<MemberFailure.NoAnswer>()
            expectThat(connect(a).ids(1)).isEmpty()
        }
    }

    @Nested
    inner class `the control calls` {
        @Test
        fun `run a failover`() {
            val proposal = TermProposal(Term(2), vm)
            listOf(b, c).forEach { port(it).acceptTerm(proposal, answerTimeout).value() }
            expectThat(port(b).promote(proposal, answerTimeout).value()) {
                get { role }.isEqualTo(MemberRole.PRIMARY)
                get { primaryContactAge }.isEqualTo(null)
            }
            port(c).follow(Term(2), b, answerTimeout).value()
            expectThat(port(c).report(answerTimeout).value()).isEqualTo(group.report(c))
            connect(b).send(insert(1, term = 2)).value()
        }

        @Test
        fun `use a new connection after a call without an answer`() {
            val port = port(a)
            port.report(answerTimeout).value()
            group.set(a, MemberFault.SilenceConnections)
            expectThat(port.report(shortTimeout).failure()).isA<MemberFailure.NoAnswer>()
            port.report(answerTimeout).value()
        }

        @Test
        fun `get no answer if the VM is isolated`() {
            group.set(a, MemberFault.IsolateFromVms(setOf(vm)))
            expectThat(port(a).report(shortTimeout).failure()).isA<MemberFailure.NoAnswer>()
            expectThat(port(a).connect(shortTimeout).failure()).isA<MemberFailure.Unreachable>()
            port(a, otherVm).report(answerTimeout).value()
        }
    }

    @Nested
    inner class `the fault call` {
        @Test
        fun `sets a fault switch`() {
            MemberFaultClient(server.addresses().first().address).use { it.set(MemberFault.IsolateFromVms(setOf(vm))) }
            expectThat(port(a).report(shortTimeout).failure()).isA<MemberFailure.NoAnswer>()
        }
    }
}
