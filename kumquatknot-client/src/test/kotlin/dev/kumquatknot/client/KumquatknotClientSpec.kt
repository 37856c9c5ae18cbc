package dev.kumquatknot.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.long
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.api.expectThrows
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

private typealias Responder = (Request) -> Either<TransportFailure, Response>

class KumquatknotClientSpec {
    private val time = TestTimeSource()
    private val sent = mutableListOf<Request>()
    private val pauses = mutableListOf<Duration>()
    private var responders = ArrayDeque<Responder>()
    private val settings = ClientSettings(listOf("http://a", "http://b"), "team-key", deadline = 2.seconds)
    private val statements = listOf(statement("insert into booking values (?)", 7))

    private val client = clientWith(RetryBudget())
    private val session = client.session()

    private fun clientWith(budget: RetryBudget) =
        KumquatknotClient(
            settings,
            { request, _ ->
                sent += request
                (responders.removeFirstOrNull() ?: completed())(request)
            },
            budget,
            time,
            {
                pauses += it
                time += it
            },
            Random(1),
        )

    private fun completed(body: String = """{"results":[],"repeated":false}""", token: String? = null): Responder = {
        val response = Response(Status.OK).body(body)
        (if (token == null) response else response.header("Kumquatknot-Session", token)).right()
    }

    private fun problem(effect: String, status: Int, retryAfter: Long? = null, token: String? = null): Responder = {
        val retry = retryAfter?.let { ""","retryAfterMilliseconds":$it""" }.orEmpty()
        val body =
            """{"type":"urn:kumquatknot:problem:x","title":"X","status":$status,"detail":"d","instance":"i",""" +
                """"step":"admit","peer":"local","effect":"$effect"$retry}"""
        val response = Response(Status(status, "")).body(body)
        (if (token == null) response else response.header("Kumquatknot-Session", token)).right()
    }

    private fun noAnswer(): Responder = { TransportFailure.NoAnswer("silent").left() }

    private fun notSent(): Responder = { TransportFailure.NotSent("refused").left() }

    private fun answerWith(vararg all: Responder) {
        responders.addAll(all)
    }

    private fun paths() = sent.map { it.uri.path.substringAfter("/v1/databases/inventory-1/") }

    @Nested
    inner class `a completed request` {
        @Test
        fun `sends key, kind, deadline and statements, and parses 64-bit integers exactly`() {
            answerWith(
                completed(
                    """{"results":[{"columns":["n"],"rows":[[9223372036854775807],[null]],"updatedRows":0}],""" +
                        """"servedBy":"m","role":"primary","repeated":true,"later":1}""",
                ),
            )
            val outcome = session.write("inventory-1", "book", statements, IdempotencyKey("k-1"))
            val answer = expectThat(outcome).isA<Outcome.Completed<Answer>>().subject.value
            expectThat(answer.results.single().rows[0][0].long).isEqualTo(Long.MAX_VALUE)
            expectThat(answer.repeated).isTrue()
            val request = sent.single()
            expectThat(request.header("Authorization")).isEqualTo("Bearer team-key")
            expectThat(request.header("Kumquatknot-Kind")).isEqualTo("book")
            expectThat(request.header("Idempotency-Key")).isEqualTo("k-1")
            expectThat(request.header("Kumquatknot-Deadline-Milliseconds")).isEqualTo("2000")
            expectThat(request.bodyString())
                .isEqualTo("""{"statements":[{"text":"insert into booking values (?)","parameters":[7]}]}""")
        }
    }

    @Nested
    inner class `the session token` {
        @Test
        fun `of each answer, also of a failure, is sent with the next request`() {
            answerWith(completed(token = "t1"), problem("not-run", 422, token = "t2"))
            repeat(3) { session.read("inventory-1", "browse", statements) }
            expectThat(sent.map { it.header("Kumquatknot-Session") }).isEqualTo(listOf(null, "t1", "t2"))
        }

        @Test
        fun `of each parallel answer is kept until one answer covers them all`() {
            val bothSent = CyclicBarrier(2)
            val parallelClient =
                KumquatknotClient(settings, { request, _ ->
                    if (request.header("Kumquatknot-Session") == "start") bothSent.await(10, TimeUnit.SECONDS)
                    val body = """{"results":[],"repeated":false}"""
                    Response(Status.OK).body(body)
                        .header("Kumquatknot-Session", "after-${request.header("Kumquatknot-Kind")}").right()
                })
            val shared = parallelClient.session(setOf("start"))
            listOf("a", "b").map { thread { shared.read("inventory-1", it, statements) } }.forEach { it.join() }
            expectThat(shared.tokens).isEqualTo(setOf("after-a", "after-b"))
            shared.read("inventory-1", "c", statements)
            expectThat(shared.tokens).isEqualTo(setOf("after-c"))
        }
    }

    @Nested
    inner class `work that did not run` {
        @Test
        fun `is sent again to the next entry after the requested time, with the remaining time as deadline`() {
            answerWith(problem("not-run", 429, 300))
            session.write("inventory-1", "clean", statements)
            expectThat(pauses.single()).isGreaterThanOrEqualTo(300.milliseconds)
            expectThat(sent[0].uri.host).isNotEqualTo(sent[1].uri.host)
            val remaining = sent[1].header("Kumquatknot-Deadline-Milliseconds")!!.toLong()
            expectThat(remaining).isLessThan(1_701)
        }

        @Test
        fun `is sent again if no connection was established`() {
            answerWith(notSent())
            expectThat(session.write("inventory-1", "clean", statements)).isA<Outcome.Completed<Answer>>()
        }

        @Test
        fun `is not sent again if the request itself is invalid`() {
            answerWith(problem("not-run", 400))
            val outcome = session.write("inventory-1", "clean", statements)
            expectThat(outcome).isA<Outcome.NotRun>().get { retryAfter }.isNull()
            expectThat(sent).hasSize(1)
        }

        @Test
        fun `is returned as not run if the requested time is beyond the deadline`() {
            answerWith(problem("not-run", 503, 5_000))
            val outcome = session.write("inventory-1", "clean", statements)
            expectThat(outcome).isA<Outcome.NotRun>().get { retryAfter }.isEqualTo(5.seconds)
            expectThat(pauses).hasSize(0)
        }

        @Test
        fun `is sent again only within the retry budget`() {
            val limitedSession = clientWith(RetryBudget(retryRatio = 0.0, maximumRetries = 2.0)).session()
            answerWith(*Array(20) { problem("not-run", 429, 1) })
            repeat(5) { limitedSession.write("inventory-1", "clean", statements) }
            expectThat(sent).hasSize(7)
        }
    }

    @Nested
    inner class `work of unknown outcome` {
        @Test
        fun `without key is returned without a retry and cannot be resolved`() {
            answerWith(noAnswer())
            val outcome = session.write("inventory-1", "clean", statements)
            val unknown = expectThat(outcome).isA<Outcome.Unknown>().subject
            expectThat(unknown.resolve()).isEqualTo(unknown)
            expectThat(sent).hasSize(1)
        }

        @Test
        fun `with key is sent again with the same key`() {
            answerWith(noAnswer(), problem("unknown", 504))
            val outcome = session.write("inventory-1", "book", statements, IdempotencyKey("k-1"))
            expectThat(outcome).isA<Outcome.Completed<Answer>>()
            expectThat(sent.map { it.header("Idempotency-Key") }).hasSize(3).all { isEqualTo("k-1") }
        }

        @Test
        fun `with key can be resolved after the retries are exhausted`() {
            answerWith(*Array(30) { noAnswer() })
            val limitedSession = clientWith(RetryBudget(retryRatio = 0.0, maximumRetries = 1.0)).session()
            val outcome = limitedSession.write("inventory-1", "book", statements, IdempotencyKey("k/1"))
            val unknown = expectThat(outcome).isA<Outcome.Unknown>().subject
            responders.clear()
            answerWith(completed("""{"results":[],"repeated":true}"""))
            expectThat(unknown.resolve()).isA<Outcome.Completed<Answer>>().get { value.repeated }.isTrue()
            expectThat(paths().last()).isEqualTo("outcomes/k%2F1")
        }

        @Test
        fun `is sent again if it is a read or idempotent`() {
            answerWith(noAnswer())
            expectThat(session.read("inventory-1", "browse", statements)).isA<Outcome.Completed<Answer>>()
            answerWith(noAnswer())
            expectThat(session.write("inventory-1", "clean", statements, idempotent = true))
                .isA<Outcome.Completed<Answer>>()
        }

        @Test
        fun `is reported if the answer is not JSON`() {
            answerWith({ Response(Status.BAD_GATEWAY).body("<html>").right() })
            expectThat(session.write("inventory-1", "clean", statements)).isA<Outcome.Unknown>()
        }
    }

    @Nested
    inner class `completed work without answer` {
        @Test
        fun `is reported as completed and not sent again`() {
            answerWith(problem("completed", 413))
            expectThat(session.read("inventory-1", "browse", statements)).isA<Outcome.CompletedWithoutAnswer>()
            expectThat(sent).hasSize(1)
        }
    }

    @Nested
    inner class `an interactive transaction` {
        private fun transactionBegun() = completed("""{"results":[],"repeated":false,"transaction":"h"}""")

        @Test
        fun `begins, runs and commits at one entry`() {
            answerWith(transactionBegun())
            val outcome =
                session.transaction("inventory-1", "book", IdempotencyKey("k")) {
                    run(statement("select 1"))
                    "done"
                }
            expectThat(outcome).isEqualTo(Outcome.Completed("done"))
            expectThat(paths()).isEqualTo(listOf("transactions", "transactions/h", "transactions/h/commit"))
            expectThat(sent.map { it.uri.host }.toSet()).hasSize(1)
            expectThat(sent.map { it.header("Idempotency-Key") }).isEqualTo(listOf(null, null, "k"))
        }

        @Test
        fun `rolls back after a failed statement`() {
            answerWith(transactionBegun(), problem("not-run", 422))
            val outcome = session.transaction("inventory-1", "book") { run(statement("bad")) }
            expectThat(outcome).isA<Outcome.NotRun>()
            expectThat(paths().last()).isEqualTo("transactions/h/rollback")
        }

        @Test
        fun `rolls back after an exception in the work`() {
            answerWith(transactionBegun())
            expectThrows<IllegalStateException> { session.transaction("inventory-1", "book") { error("injected") } }
            expectThat(paths().last()).isEqualTo("transactions/h/rollback")
        }

        @Test
        fun `resolves a commit of unknown outcome by its key and never sends it again`() {
            answerWith(transactionBegun(), noAnswer())
            val outcome = session.transaction("inventory-1", "book", IdempotencyKey("k")) { 1 }
            expectThat(outcome).isEqualTo(Outcome.Completed(1))
            expectThat(paths()).isEqualTo(listOf("transactions", "transactions/h/commit", "outcomes/k"))
        }

        @Test
        fun `returns a commit of unknown outcome without key as unknown`() {
            answerWith(transactionBegun(), noAnswer())
            expectThat(session.transaction("inventory-1", "clean") { 1 }).isA<Outcome.Unknown>()
            expectThat(paths().any { it.endsWith("rollback") }).isFalse()
        }
    }

    @Test
    fun `invalid idempotency keys and parameters are rejected before a request is sent`() {
        expectThrows<IllegalArgumentException> { IdempotencyKey("two words") }
        expectThrows<IllegalArgumentException> { statement("?", listOf(1)) }
    }
}
