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

private typealias Answering = (Request) -> Either<TransportFailure, Response>

class KumquatknotClientSpec {
    private val time = TestTimeSource()
    private val sent = mutableListOf<Request>()
    private val pauses = mutableListOf<Duration>()
    private var answers = ArrayDeque<Answering>()
    private val settings = ClientSettings(listOf("http://a", "http://b"), "team-key", deadline = 2.seconds)
    private val book = listOf(statement("insert into booking values (?)", 7))

    private val client = clientWith(RetryBudget())
    private val session = client.session()

    private fun clientWith(budget: RetryBudget) =
        KumquatknotClient(
            settings,
            { request, _ ->
                sent += request
                (answers.removeFirstOrNull() ?: completed())(request)
            },
            budget,
            time,
            {
                pauses += it
                time += it
            },
            Random(1),
        )

    private fun completed(body: String = """{"results":[],"repeated":false}""", token: String? = null): Answering = {
        val response = Response(Status.OK).body(body)
        (if (token == null) response else response.header("Kumquatknot-Session", token)).right()
    }

    private fun problem(effect: String, status: Int, retryAfter: Long? = null, token: String? = null): Answering = {
        val retry = retryAfter?.let { ""","retryAfterMilliseconds":$it""" }.orEmpty()
        val body =
            """{"type":"urn:kumquatknot:problem:x","title":"X","status":$status,"detail":"d","instance":"i",""" +
                """"step":"admit","peer":"local","effect":"$effect"$retry}"""
        val response = Response(Status(status, "")).body(body)
        (if (token == null) response else response.header("Kumquatknot-Session", token)).right()
    }

    private fun noAnswer(): Answering = { TransportFailure.NoAnswer("silent").left() }

    private fun notSent(): Answering = { TransportFailure.NotSent("refused").left() }

    private fun answer(vararg all: Answering) {
        answers.addAll(all)
    }

    private fun paths() = sent.map { it.uri.path.substringAfter("/v1/databases/inventory-1/") }

    @Nested
    inner class `a completed request` {
        @Test
        fun `carries key, kind, deadline and statements, and reads exact integers`() {
            answer(
                completed(
                    """{"results":[{"columns":["n"],"rows":[[9223372036854775807],[null]],"updatedRows":0}],""" +
                        """"servedBy":"m","role":"primary","repeated":true,"later":1}""",
                ),
            )
            val outcome = session.write("inventory-1", "book", book, IdempotencyKey("k-1"))
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
        fun `goes from each answer into the next request, also from failures`() {
            answer(completed(token = "t1"), problem("not-run", 422, token = "t2"))
            repeat(3) { session.read("inventory-1", "browse", book) }
            expectThat(sent.map { it.header("Kumquatknot-Session") }).isEqualTo(listOf(null, "t1", "t2"))
        }

        @Test
        fun `of parallel answers is kept until one answer covers them`() {
            val together = CyclicBarrier(2)
            val parallel =
                KumquatknotClient(settings, { request, _ ->
                    if (request.header("Kumquatknot-Session") == "start") together.await(10, TimeUnit.SECONDS)
                    val body = """{"results":[],"repeated":false}"""
                    Response(Status.OK).body(body)
                        .header("Kumquatknot-Session", "after-${request.header("Kumquatknot-Kind")}").right()
                })
            val shared = parallel.session(setOf("start"))
            listOf("a", "b").map { thread { shared.read("inventory-1", it, book) } }.forEach { it.join() }
            expectThat(shared.tokens).isEqualTo(setOf("after-a", "after-b"))
            shared.read("inventory-1", "c", book)
            expectThat(shared.tokens).isEqualTo(setOf("after-c"))
        }
    }

    @Nested
    inner class `work that did not run` {
        @Test
        fun `is sent again after the stated time, at the next entry, with the time left`() {
            answer(problem("not-run", 429, 300))
            session.write("inventory-1", "clean", book)
            expectThat(pauses.single()).isGreaterThanOrEqualTo(300.milliseconds)
            expectThat(sent[0].uri.host).isNotEqualTo(sent[1].uri.host)
            val left = sent[1].header("Kumquatknot-Deadline-Milliseconds")!!.toLong()
            expectThat(left).isLessThan(1_701)
        }

        @Test
        fun `is sent again when no connection was made`() {
            answer(notSent())
            expectThat(session.write("inventory-1", "clean", book)).isA<Outcome.Completed<Answer>>()
        }

        @Test
        fun `is not sent again when the request itself is wrong`() {
            answer(problem("not-run", 400))
            val outcome = session.write("inventory-1", "clean", book)
            expectThat(outcome).isA<Outcome.NotRun>().get { retryAfter }.isNull()
            expectThat(sent).hasSize(1)
        }

        @Test
        fun `is handed back when the stated time is beyond the deadline`() {
            answer(problem("not-run", 503, 5_000))
            val outcome = session.write("inventory-1", "clean", book)
            expectThat(outcome).isA<Outcome.NotRun>().get { retryAfter }.isEqualTo(5.seconds)
            expectThat(pauses).hasSize(0)
        }

        @Test
        fun `is sent again only as far as the budget goes`() {
            val frugal = clientWith(RetryBudget(share = 0.0, reserve = 2.0)).session()
            answer(*Array(20) { problem("not-run", 429, 1) })
            repeat(5) { frugal.write("inventory-1", "clean", book) }
            expectThat(sent).hasSize(7)
        }
    }

    @Nested
    inner class `work of unknown outcome` {
        @Test
        fun `without key is handed back unsent and cannot be resolved`() {
            answer(noAnswer())
            val outcome = session.write("inventory-1", "clean", book)
            val unknown = expectThat(outcome).isA<Outcome.Unknown>().subject
            expectThat(unknown.resolve()).isEqualTo(unknown)
            expectThat(sent).hasSize(1)
        }

        @Test
        fun `with key is sent again with the same key`() {
            answer(noAnswer(), problem("unknown", 504))
            val outcome = session.write("inventory-1", "book", book, IdempotencyKey("k-1"))
            expectThat(outcome).isA<Outcome.Completed<Answer>>()
            expectThat(sent.map { it.header("Idempotency-Key") }).hasSize(3).all { isEqualTo("k-1") }
        }

        @Test
        fun `with key is resolved by it once the deadline has passed`() {
            answer(*Array(30) { noAnswer() })
            val frugal = clientWith(RetryBudget(share = 0.0, reserve = 1.0)).session()
            val outcome = frugal.write("inventory-1", "book", book, IdempotencyKey("k/1"))
            val unknown = expectThat(outcome).isA<Outcome.Unknown>().subject
            answers.clear()
            answer(completed("""{"results":[],"repeated":true}"""))
            expectThat(unknown.resolve()).isA<Outcome.Completed<Answer>>().get { value.repeated }.isTrue()
            expectThat(paths().last()).isEqualTo("outcomes/k%2F1")
        }

        @Test
        fun `is sent again where it only reads or is idempotent`() {
            answer(noAnswer())
            expectThat(session.read("inventory-1", "browse", book)).isA<Outcome.Completed<Answer>>()
            answer(noAnswer())
            expectThat(session.write("inventory-1", "clean", book, idempotent = true))
                .isA<Outcome.Completed<Answer>>()
        }

        @Test
        fun `is what an answer that is no JSON means`() {
            answer({ Response(Status.BAD_GATEWAY).body("<html>").right() })
            expectThat(session.write("inventory-1", "clean", book)).isA<Outcome.Unknown>()
        }
    }

    @Nested
    inner class `completed work without answer` {
        @Test
        fun `is told apart and not sent again`() {
            answer(problem("completed", 413))
            expectThat(session.read("inventory-1", "browse", book)).isA<Outcome.CompletedWithoutAnswer>()
            expectThat(sent).hasSize(1)
        }
    }

    @Nested
    inner class `an interactive transaction` {
        private fun begun() = completed("""{"results":[],"repeated":false,"transaction":"h"}""")

        @Test
        fun `begins, runs and commits at one entry`() {
            answer(begun())
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
            answer(begun(), problem("not-run", 422))
            val outcome = session.transaction("inventory-1", "book") { run(statement("bad")) }
            expectThat(outcome).isA<Outcome.NotRun>()
            expectThat(paths().last()).isEqualTo("transactions/h/rollback")
        }

        @Test
        fun `rolls back after an exception of the work`() {
            answer(begun())
            expectThrows<IllegalStateException> { session.transaction("inventory-1", "book") { error("planted") } }
            expectThat(paths().last()).isEqualTo("transactions/h/rollback")
        }

        @Test
        fun `resolves a commit of unknown outcome by its key and never sends it again`() {
            answer(begun(), noAnswer())
            val outcome = session.transaction("inventory-1", "book", IdempotencyKey("k")) { 1 }
            expectThat(outcome).isEqualTo(Outcome.Completed(1))
            expectThat(paths()).isEqualTo(listOf("transactions", "transactions/h/commit", "outcomes/k"))
        }

        @Test
        fun `hands a commit of unknown outcome back where it has no key`() {
            answer(begun(), noAnswer())
            expectThat(session.transaction("inventory-1", "clean") { 1 }).isA<Outcome.Unknown>()
            expectThat(paths().any { it.endsWith("rollback") }).isFalse()
        }
    }

    @Test
    fun `a key that no header can carry is refused at once`() {
        expectThrows<IllegalArgumentException> { IdempotencyKey("two words") }
        expectThrows<IllegalArgumentException> { statement("?", listOf(1)) }
    }
}
