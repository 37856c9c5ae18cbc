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
    private val timeout = 5.seconds
    private val primary = EmbeddedServer("jdbc_primary", inRecovery = false)
    private val replica = EmbeddedServer("jdbc_replica", inRecovery = true)
    private val members = listOf(a to "10.0.0.1:5432", b to "10.0.0.2:5432").map { (name, address) ->
        MemberConfiguration(name, DataCentre("cairo-a"), address, 3, 40)
    }
    private val adapter = JdbcMembers(members, "FOR UPDATE") { (if (it.name == a) primary else replica).open() }
    private val connections = mutableListOf<MemberConnection>()

    init {
        listOf(primary, replica).forEach { it.execute("CREATE TABLE seat (id INT PRIMARY KEY, price NUMERIC(8,2))") }
        adapter.port(a).acceptTerm(TermProposal(Term(1), vm), timeout).value()
        adapter.port(a).promote(TermProposal(Term(1), vm), timeout).value()
        replica.execute("UPDATE kumquatknot_term SET accepted = 1, proposer = 'vm-1', serving = 1")
    }

    @AfterEach
    fun close() {
        connections.forEach { it.close() }
        primary.close()
        replica.close()
    }

    private fun connect(member: MemberName) =
        adapter.port(member).connect(timeout).onRight { connections += it }.value()

    private fun batch(
        term: Long,
        vararg statements: String,
        readOnly: Boolean = false,
        end: BatchEnd = BatchEnd.COMMIT,
    ) = StatementBatch(RequestId("r"), Term(term), readOnly, statements.map { Statement(it) }, end)

    private fun insert(id: Int, end: BatchEnd = BatchEnd.COMMIT) =
        batch(1, "INSERT INTO seat VALUES ($id, 9.50)", end = end)

    private fun ids(): List<SqlValue> =
        connect(a).run(batch(1, "SELECT id FROM seat ORDER BY id", readOnly = true), timeout).value()
            .results.single().rows.map { it.single() }

    private fun <T> Either<MemberFailure, T>.value(): T = fold({ error(it) }, { it })

    private fun <T> Either<MemberFailure, T>.failure(): MemberFailure = fold({ it }, { error("no failure: $it") })

    @Nested
    inner class `a batch` {
        @Test
        fun `returns the log position after its commit`() {
            primary.position = "2/A"
            val reply = connect(a).run(insert(1), timeout).value()
            expectThat(reply.point).isEqualTo(HistoryPoint(Term(1), LogPosition(0x2_0000_000A)))
            expectThat(ids()).containsExactly(SqlValue.Integer(1))
        }

        @Test
        fun `can keep its transaction open and roll it back later`() {
            val connection = connect(a)
            connection.run(insert(1, BatchEnd.KEEP_OPEN), timeout).value()
            connection.run(insert(2, BatchEnd.KEEP_OPEN), timeout).value()
            connection.run(batch(1, end = BatchEnd.ROLLBACK), timeout).value()
            expectThat(ids()).containsExactly()
            connection.run(insert(3), timeout).value()
            expectThat(ids()).containsExactly(SqlValue.Integer(3))
        }

        @Test
        fun `rolls back after a failed statement`() {
            val connection = connect(a)
            connection.run(insert(1, BatchEnd.KEEP_OPEN), timeout).value()
            expectThat(connection.run(insert(1), timeout).failure()).isA<MemberFailure.StatementFailed>()
                .get { sqlState }.isEqualTo("23505")
            expectThat(ids()).containsExactly()
        }

        @Test
        fun `reads at a replica and returns the replayed position`() {
            replica.position = "0/7"
            val reply = connect(b).run(batch(1, "SELECT price FROM seat", readOnly = true), timeout).value()
            expectThat(reply.point).isEqualTo(HistoryPoint(Term(1), LogPosition(7)))
        }

        @Test
        fun `with changes is rejected at a replica`() {
            expectThat(connect(b).run(insert(1), timeout).failure()).isA<MemberFailure.NotPrimary>()
        }

        @Test
        fun `returns decimal numbers without loss of precision`() {
            connect(a).run(insert(1), timeout).value()
            val reply = connect(a).run(batch(1, "SELECT price FROM seat", readOnly = true), timeout).value()
            expectThat(reply.results.single().rows.single()).containsExactly(SqlValue.Text("9.50"))
        }

        @Test
        fun `without an answer within its timeout closes the connection`() {
            primary.execute("INSERT INTO seat VALUES (1, 1)")
            val lockingConnection = primary.open().apply { autoCommit = false }
            lockingConnection.createStatement().use { it.execute("UPDATE seat SET price = 2") }
            val connection = connect(a)
            val blocked = batch(1, "UPDATE seat SET price = 3")
            expectThat(connection.run(blocked, 100.milliseconds).failure()).isA<MemberFailure.NoAnswer>()
            expectThat(connection.run(insert(2), timeout).failure()).isA<MemberFailure.Unreachable>()
            lockingConnection.rollback()
            lockingConnection.close()
        }
    }

    @Nested
    inner class `the fencing of a primary` {
        @Test
        fun `prevents a superseded primary from committing an open transaction`() {
            val connection = connect(a)
            connection.run(insert(1, BatchEnd.KEEP_OPEN), timeout).value()
            adapter.port(a).acceptTerm(TermProposal(Term(2), vm), timeout).value()
            val outcome = connection.run(batch(1), timeout).failure()
            expectThat(outcome).isA<MemberFailure.StatementFailed>().get { sqlState }.isEqualTo("40001")
            expectThat(connection.run(batch(1), timeout).failure()).isA<MemberFailure.LowerTerm>()
            val rows = primary.open().use { open ->
                open.createStatement().executeQuery("SELECT COUNT(*) FROM seat").run { next() to getInt(1) }
            }
            expectThat(rows).isEqualTo(true to 0)
        }

        @Test
        fun `rejects a batch of a lower term, and a batch of a term that is not served yet`() {
            adapter.port(a).acceptTerm(TermProposal(Term(2), vm), timeout).value()
            expectThat(connect(a).run(insert(1), timeout).failure()).isA<MemberFailure.LowerTerm>()
            val higherTermBatch = batch(2, "INSERT INTO seat VALUES (1, 1)")
            expectThat(connect(a).run(higherTermBatch, timeout).failure()).isA<MemberFailure.NotPrimary>()
        }

        @Test
        fun `allows promotion only in an accepted term`() {
            expectThat(adapter.port(a).promote(TermProposal(Term(2), vm), timeout).failure())
                .isA<MemberFailure.NotPrimary>()
        }

        @Test
        fun `accepts a term from a single proposer, also repeatedly`() {
            adapter.port(a).acceptTerm(TermProposal(Term(2), vm), timeout).value()
            adapter.port(a).acceptTerm(TermProposal(Term(2), vm), timeout).value()
            expectThat(adapter.port(a).acceptTerm(TermProposal(Term(2), VmName("vm-2")), timeout).failure())
                .isEqualTo(MemberFailure.LowerTerm(a, Step.PROMOTE, Term(2)))
        }
    }

    @Nested
    inner class `a replica` {
        @Test
        fun `accepts a term by pausing replay`() {
            val report = adapter.port(b).acceptTerm(TermProposal(Term(2), vm), timeout).value()
            expectThat(replica.replayPaused).isTrue()
            expectThat(report) {
                get { role }.isEqualTo(MemberRole.REPLICA)
                get { acceptedTerm }.isEqualTo(Term(2))
                get { lastEntry.term }.isEqualTo(Term(1))
            }
        }

        @Test
        fun `is promoted only by the proposer of the accepted term`() {
            val port = adapter.port(b)
            val proposal = TermProposal(Term(2), vm)
            expectThat(port.promote(proposal, timeout).failure()).isA<MemberFailure.NotPrimary>()
            port.acceptTerm(proposal, timeout).value()
            expectThat(port.promote(proposal.copy(proposer = VmName("vm-2")), timeout).failure())
                .isA<MemberFailure.LowerTerm>()
            val report = port.promote(proposal, timeout).value()
            expectThat(report) {
                get { role }.isEqualTo(MemberRole.PRIMARY)
                get { lastEntry.term }.isEqualTo(Term(2))
                get { primaryContactAge }.isNull()
            }
            expectThat(port.promote(proposal, timeout).value()).isEqualTo(report)
        }

        @Test
        fun `resumes replay only when it receives from the new primary`() {
            val port = adapter.port(b)
            port.acceptTerm(TermProposal(Term(2), vm), timeout).value()
            expectThat(port.follow(Term(2), a, timeout).failure()).isA<MemberFailure.StatementFailed>()
            replica.execute("INSERT INTO pg_stat_wal_receiver VALUES ('10.0.0.1', 5432, '2026-12-04 10:00:00+00')")
            expectThat(port.follow(Term(1), a, timeout).failure()).isA<MemberFailure.LowerTerm>()
            expectThat(replica.replayPaused).isTrue()
            expectThat(port.follow(Term(2), a, timeout).value().primaryContactAge).isEqualTo(5.seconds)
            expectThat(replica.replayPaused).isFalse()
        }
    }

    @Nested
    inner class `a connection` {
        private fun failing(state: String) = JdbcMembers(members) { throw SQLException("refused", state) }.port(a)

        @Test
        fun `that is refused fails as too many connections or unreachable`() {
            expectThat(failing("53300").connect(timeout).failure()).isA<MemberFailure.TooManyConnections>()
            expectThat(failing("08001").connect(timeout).failure()).isA<MemberFailure.Unreachable>()
            expectThat(failing("08001").report(timeout).failure()).isA<MemberFailure.Unreachable>()
        }

        @Test
        fun `that exceeds its timeout fails as unreachable`() {
            val released = CountDownLatch(1)
            val slow = JdbcMembers(members) {
                released.await()
                primary.open()
            }
            expectThat(slow.port(a).connect(50.milliseconds).failure()).isA<MemberFailure.Unreachable>()
            released.countDown()
        }
    }
}
