package dev.kumquatknot.proxy.caller

import arrow.core.left
import arrow.core.right
import dev.kumquatknot.client.Answer
import dev.kumquatknot.client.ClientSettings
import dev.kumquatknot.client.IdempotencyKey
import dev.kumquatknot.client.KumquatknotClient
import dev.kumquatknot.client.Outcome
import dev.kumquatknot.client.statement
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.StatementResult
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.request.CallerRequest
import dev.kumquatknot.core.request.RequestFailure
import dev.kumquatknot.core.request.TransactionHandle
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.proxy.http.WorkerPoolServer
import dev.kumquatknot.proxy.http.WorkerPoolSettings
import kotlinx.serialization.json.long
import org.http4k.server.Http4kServer
import org.http4k.server.asServer
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.map
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tests the client library against the HTTP API for callers, over sockets. */
@Timeout(60)
class ClientContractSpec {
    private val api = CallerApiFixture()
    private val server: Http4kServer =
        api.handler.asServer(WorkerPoolServer(WorkerPoolSettings(address = "127.0.0.1", lingerTime = Duration.ZERO)))
            .start()
    private val settings =
        ClientSettings(listOf("http://127.0.0.1:${server.port()}/"), CallerApiFixture.PESEBRE_KEY)
    private val session = KumquatknotClient(settings).session()
    private val select = statement("select ?", Long.MAX_VALUE)

    private fun failOnce(reason: FailureReason, effect: Effect, retryAfter: Duration? = null) {
        var failed = false
        api.answer = {
            if (failed) {
                api.reply(it).right()
            } else {
                failed = true
                val failure = Failure(reason, effect, Step.EXECUTE, Peer.Local, "injected", retryAfter)
                RequestFailure(failure, it.token).left()
            }
        }
    }

    private fun receivedWork(): List<Work> = api.receivedRequests.map(CallerRequest::work)

    @AfterEach
    fun tearDown() {
        server.stop()
    }

    @Nested
    inner class `a session` {
        @Test
        fun `transfers parameters, results and the session token`() {
            api.answer = {
                val row = listOf(SqlValue.Integer(Long.MIN_VALUE), SqlValue.Null)
                api.reply(it).copy(results = listOf(StatementResult(listOf("a", "b"), listOf(row)))).right()
            }
            val outcome = session.read("inventory-1", "browse", listOf(select))
            val cell = expectThat(outcome).isA<Outcome.Completed<Answer>>().subject.value.results[0].rows[0][0]
            expectThat(cell.long).isEqualTo(Long.MIN_VALUE)
            session.read("inventory-1", "browse", listOf(select))
            expectThat(api.receivedRequests.map { it.token.pointOf(api.inventory).position.value })
                .isEqualTo(listOf(0L, 9L))
            val parameters = (receivedWork().first() as Work.Read).statements.single().parameters
            expectThat(parameters).isEqualTo(listOf(SqlValue.Integer(Long.MAX_VALUE)))
        }

        @Test
        fun `merges the tokens of two parallel answers`() {
            val bothReceived = CyclicBarrier(2)
            api.answer = { request ->
                val kind = request.kind.name.value
                if (kind != "clean") bothReceived.await(10, TimeUnit.SECONDS)
                api.reply(request, point = if (kind == "browse") 20 else 10).right()
            }
            val reads = listOf("browse", "counter").map { kind ->
                thread { session.read("inventory-1", kind, listOf(select)) }
            }
            reads.forEach { it.join() }
            session.write("inventory-1", "clean", listOf(select))
            expectThat(api.receivedRequests.last().token.pointOf(api.inventory))
                .isEqualTo(HistoryPoint(Term(2), LogPosition(20)))
            expectThat(session.tokens).hasSize(1)
        }
    }

    @Nested
    inner class `a failure` {
        @Test
        fun `that did not run is sent again`() {
            failOnce(FailureReason.OVERLOADED, Effect.NOT_RUN, retryAfter = 1.milliseconds)
            expectThat(session.write("inventory-1", "clean", listOf(select))).isA<Outcome.Completed<Answer>>()
            expectThat(api.receivedRequests).hasSize(2)
        }

        @Test
        fun `of unknown outcome is returned as unknown, and work with a key can be resolved`() {
            failOnce(FailureReason.UNCONFIRMED, Effect.UNKNOWN)
            expectThat(session.write("inventory-1", "clean", listOf(select))).isA<Outcome.Unknown>()
            val key = IdempotencyKey("order/17?%+#")
            expectThat(session.resolve("inventory-1", "book", key)).isA<Outcome.Completed<Answer>>()
            expectThat(api.receivedRequests.last()) {
                get { work }.isEqualTo(Work.Resolve)
                get { this.key?.value }.isEqualTo("order/17?%+#")
            }
        }

        @Test
        fun `that the caller caused is returned with its reason`() {
            val outcome = session.write("inventory-1", "book", listOf(select))
            expectThat(outcome).isA<Outcome.NotRun>().get { problem.type }
                .isEqualTo("urn:kumquatknot:problem:key-required")
        }

        @Test
        fun `to connect is returned as not run`() {
            val unreachableSettings = ClientSettings(listOf("http://127.0.0.1:1"), "key", deadline = 50.milliseconds)
            expectThat(KumquatknotClient(unreachableSettings).session().read("inventory-1", "browse", listOf(select)))
                .isA<Outcome.NotRun>()
        }
    }

    @Nested
    inner class `an interactive transaction` {
        @Test
        fun `runs from begin to commit`() {
            val handle = TransactionHandle(VmName("vm-1"), 3)
            api.answer = { api.reply(it).copy(transaction = handle.takeIf { _ -> it.work == Work.Begin }).right() }
            val outcome = session.transaction("inventory-1", "book", IdempotencyKey("k")) { run(select) }
            expectThat(outcome).isEqualTo(Outcome.Completed(emptyList()))
            expectThat(receivedWork()).map { it::class.simpleName }.isEqualTo(listOf("Begin", "Run", "Commit"))
            expectThat(api.receivedRequests.last().key?.value).isEqualTo("k")
        }
    }
}
