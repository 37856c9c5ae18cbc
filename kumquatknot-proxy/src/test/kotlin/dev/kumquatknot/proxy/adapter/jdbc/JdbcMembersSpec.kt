package dev.kumquatknot.proxy.adapter.jdbc

import arrow.core.Either
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.RequestId
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.BatchEnd
import dev.kumquatknot.core.member.MemberConnection
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementBatch
import dev.kumquatknot.core.member.TermProposal
import dev.kumquatknot.core.outcome.Step
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.sql.SQLException
import java.util.concurrent.CountDownLatch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class JdbcMembersSpec {
    private val a = MemberName("course-1-a")
    private val b = MemberName("course-1-b")
    private val vm = VmName("vm-1")
    private val patience = 5.seconds
    private val primary = EmbeddedServer("jdbc_primary", inRecovery = false)
    private val replica = EmbeddedServer("jdbc_replica", inRecovery = true)
    private val members = listOf(a to "10.0.0.1:5432", b to "10.0.0.2:5432").map { (name, address) ->
        MemberConfiguration(name, DataCentre("cairo-a"), address, 3, 40)
    }
    private val adapter = JdbcMembers(members, "FOR UPDATE") { (if (it.name == a) primary else replica).open() }
    private val connections = mutableListOf<MemberConnection>()

    init {
        listOf(primary, replica).forEach { it.execute("CREATE TABLE seat (id INT PRIMARY KEY, price NUMERIC(8,2))") }
        adapter.port(a).acceptTerm(TermProposal(Term(1), vm), patience).value()
        adapter.port(a).promote(TermProposal(Term(1), vm), patience).value()
        replica.execute("UPDATE kumquatknot_term SET accepted = 1, proposer = 'vm-1', serving = 1")
    }

    @AfterEach
    fun close() {
        connections.forEach { it.close() }
        primary.close()
        replica.close()
    }

    private fun connect(member: MemberName) =
        adapter.port(member).connect(patience).onRight { connections += it }.value()

    private fun batch(
        term: Long,
        vararg statements: String,
        readOnly: Boolean = false,
        end: BatchEnd = BatchEnd.COMMIT,
    ) = StatementBatch(RequestId("r"), Term(term), readOnly, statements.map { Statement(it) }, end)

    private fun insert(id: Int, end: BatchEnd = BatchEnd.COMMIT) =
        batch(1, "INSERT INTO seat VALUES ($id, 9.50)", end = end)

    private fun ids(): List<SqlValue> =
        connect(a).run(batch(1, "SELECT id FROM seat ORDER BY id", readOnly = true), patience).value()
            .results.single().rows.map { it.single() }

    private fun <T> Either<MemberFailure, T>.value(): T = fold({ error(it) }, { it })

    private fun <T> Either<MemberFailure, T>.failure(): MemberFailure = fold({ it }, { error("no failure: $it") })

    @Nested
    inner class `a batch` {
        @Test
        fun `commits at the position of the log after it`() {
            primary.position = "2/A"
            val reply = connect(a).run(insert(1), patience).value()
            expectThat(reply.point).isEqualTo(HistoryPoint(Term(1), LogPosition(0x2_0000_000A)))
            expectThat(ids()).containsExactly(SqlValue.Integer(1))
        }

        @Test
        fun `keeps its transaction open and rolls it back`() {
            val connection = connect(a)
            connection.run(insert(1, BatchEnd.KEEP_OPEN), patience).value()
            connection.run(insert(2, BatchEnd.KEEP_OPEN), patience).value()
            connection.run(batch(1, end = BatchEnd.ROLLBACK), patience).value()
            expectThat(ids()).containsExactly()
            connection.run(insert(3), patience).value()
            expectThat(ids()).containsExactly(SqlValue.Integer(3))
        }

        @Test
        fun `rolls back after a failed statement`() {
            val connection = connect(a)
            connection.run(insert(1, BatchEnd.KEEP_OPEN), patience).value()
            expectThat(connection.run(insert(1), patience).failure()).isA<MemberFailure.StatementFailed>()
                .get { sqlState }.isEqualTo("23505")
            expectThat(ids()).containsExactly()
        }

        @Test
        fun `reads at a replica at its replayed position`() {
            replica.position = "0/7"
            val reply = connect(b).run(batch(1, "SELECT price FROM seat", readOnly = true), patience).value()
            expectThat(reply.point).isEqualTo(HistoryPoint(Term(1), LogPosition(7)))
        }

        @Test
        fun `changes nothing at a replica`() {
            expectThat(connect(b).run(insert(1), patience).failure()).isA<MemberFailure.NotPrimary>()
        }

        @Test
        fun `keeps exact numbers exact`() {
            connect(a).run(insert(1), patience).value()
            val reply = connect(a).run(batch(1, "SELECT price FROM seat", readOnly = true), patience).value()
            expectThat(reply.results.single().rows.single()).containsExactly(SqlValue.Text("9.50"))
        }

        @Test
        fun `without an answer in time ends its connection`() {
            primary.execute("INSERT INTO seat VALUES (1, 1)")
            val holder = primary.open().apply { autoCommit = false }
            holder.createStatement().use { it.execute("UPDATE seat SET price = 2") }
            val connection = connect(a)
            val blocked = batch(1, "UPDATE seat SET price = 3")
            expectThat(connection.run(blocked, 100.milliseconds).failure()).isA<MemberFailure.NoAnswer>()
            expectThat(connection.run(insert(2), patience).failure()).isA<MemberFailure.Unreachable>()
            holder.rollback()
            holder.close()
        }
    }

    @Nested
    inner class `the fence of a primary` {
        @Test
        fun `keeps a superseded primary from committing an open transaction`() {
            val connection = connect(a)
            connection.run(insert(1, BatchEnd.KEEP_OPEN), patience).value()
            adapter.port(a).acceptTerm(TermProposal(Term(2), vm), patience).value()
            val outcome = connection.run(batch(1), patience).failure()
            expectThat(outcome).isA<MemberFailure.StatementFailed>().get { sqlState }.isEqualTo("40001")
            expectThat(connection.run(batch(1), patience).failure()).isA<MemberFailure.LowerTerm>()
            val rows = primary.open().use { open ->
                open.createStatement().executeQuery("SELECT COUNT(*) FROM seat").run { next() to getInt(1) }
            }
            expectThat(rows).isEqualTo(true to 0)
        }

        @Test
        fun `rejects what carries a lower term and what is not served yet`() {
            adapter.port(a).acceptTerm(TermProposal(Term(2), vm), patience).value()
            expectThat(connect(a).run(insert(1), patience).failure()).isA<MemberFailure.LowerTerm>()
            val later = batch(2, "INSERT INTO seat VALUES (1, 1)")
            expectThat(connect(a).run(later, patience).failure()).isA<MemberFailure.NotPrimary>()
        }

        @Test
        fun `serves a term only after it was accepted`() {
            expectThat(adapter.port(a).promote(TermProposal(Term(2), vm), patience).failure())
                .isA<MemberFailure.NotPrimary>()
        }

        @Test
        fun `accepts a term once, from one proposer`() {
            adapter.port(a).acceptTerm(TermProposal(Term(2), vm), patience).value()
            adapter.port(a).acceptTerm(TermProposal(Term(2), vm), patience).value()
            expectThat(adapter.port(a).acceptTerm(TermProposal(Term(2), VmName("vm-2")), patience).failure())
                .isEqualTo(MemberFailure.LowerTerm(a, Step.PROMOTE, Term(2)))
        }
    }

    @Nested
    inner class `a replica` {
        @Test
        fun `accepts a term by pausing replay`() {
            val report = adapter.port(b).acceptTerm(TermProposal(Term(2), vm), patience).value()
            expectThat(replica.replayPaused).isTrue()
            expectThat(report) {
                get { role }.isEqualTo(MemberRole.REPLICA)
                get { acceptedTerm }.isEqualTo(Term(2))
                get { lastEntry.term }.isEqualTo(Term(1))
            }
        }

        @Test
        fun `is promoted only by the proposer whose term it accepted`() {
            val port = adapter.port(b)
            val proposal = TermProposal(Term(2), vm)
            expectThat(port.promote(proposal, patience).failure()).isA<MemberFailure.NotPrimary>()
            port.acceptTerm(proposal, patience).value()
            expectThat(port.promote(proposal.copy(proposer = VmName("vm-2")), patience).failure())
                .isA<MemberFailure.LowerTerm>()
            val report = port.promote(proposal, patience).value()
            expectThat(report) {
                get { role }.isEqualTo(MemberRole.PRIMARY)
                get { lastEntry.term }.isEqualTo(Term(2))
                get { primaryContactAge }.isNull()
            }
            expectThat(port.promote(proposal, patience).value()).isEqualTo(report)
        }

        @Test
        fun `resumes replay only behind the new primary`() {
            val port = adapter.port(b)
            port.acceptTerm(TermProposal(Term(2), vm), patience).value()
            expectThat(port.follow(Term(2), a, patience).failure()).isA<MemberFailure.StatementFailed>()
            replica.execute("INSERT INTO pg_stat_wal_receiver VALUES ('10.0.0.1', 5432, '2026-12-04 10:00:00+00')")
            expectThat(port.follow(Term(1), a, patience).failure()).isA<MemberFailure.LowerTerm>()
            expectThat(replica.replayPaused).isTrue()
            expectThat(port.follow(Term(2), a, patience).value().primaryContactAge).isEqualTo(5.seconds)
            expectThat(replica.replayPaused).isFalse()
        }
    }

    @Nested
    inner class `a connection` {
        private fun failing(state: String) = JdbcMembers(members) { throw SQLException("refused", state) }.port(a)

        @Test
        fun `that is refused ran nothing`() {
            expectThat(failing("53300").connect(patience).failure()).isA<MemberFailure.TooManyConnections>()
            expectThat(failing("08001").connect(patience).failure()).isA<MemberFailure.Unreachable>()
            expectThat(failing("08001").report(patience).failure()).isA<MemberFailure.Unreachable>()
        }

        @Test
        fun `that takes too long is unreachable`() {
            val never = CountDownLatch(1)
            val slow = JdbcMembers(members) {
                never.await()
                primary.open()
            }
            expectThat(slow.port(a).connect(50.milliseconds).failure()).isA<MemberFailure.Unreachable>()
            never.countDown()
        }
    }
}
