package dev.kumquatknot.proxy.caller

import arrow.core.right
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.StatementResult
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.Failure
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.outcome.Peer
import dev.kumquatknot.core.outcome.Step
import dev.kumquatknot.core.request.IdempotencyKey
import dev.kumquatknot.core.request.TransactionHandle
import dev.kumquatknot.core.request.Work
import dev.kumquatknot.core.session.SessionToken
import dev.kumquatknot.proxy.caller.CallerApiFixture.Companion.DATABASE
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.approvaltests.Approvals
import org.approvaltests.core.Options
import org.approvaltests.reporters.QuietReporter
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.net.URLEncoder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class CallerApiSpec {
    private val api = CallerApiFixture()

    private fun Response.field(name: String): String? =
        Json.parseToJsonElement(bodyString()).jsonObject[name]?.jsonPrimitive?.content

    private fun Response.type(): String? = field("type")?.removePrefix(Problem.URN_PREFIX)

    @Nested
    inner class `a completed request` {
        @Test
        fun `returns results with exact integers, the member and the session token`() {
            val row =
                listOf(
                    SqlValue.Integer(Long.MAX_VALUE),
                    SqlValue.Text("Mary \"blue\""),
                    SqlValue.Real(1.0),
                    SqlValue.Bool(true),
                    SqlValue.Null,
                    SqlValue.Real(Double.NaN),
                )
            api.answer = {
                api.reply(it).copy(results = listOf(StatementResult(listOf("a", "b"), listOf(row)))).right()
            }
            val response = api.post("$DATABASE/read", "browse")
            expectThat(response.bodyString()).isEqualTo(
                """{"results":[{"columns":["a","b"],""" +
                    """"rows":[[9223372036854775807,"Mary \"blue\"",1.0,true,null,"NaN"]],""" +
                    """"updatedRows":0}],"servedBy":"inventory-1-a","role":"replica","repeated":false}""",
            )
            val token = api.tokens.decode(response.header("Kumquatknot-Session")!!, api.pesebre)
            expectThat(token.getOrNull()).isNotNull().get { pointOf(api.inventory).position }.isEqualTo(LogPosition(9))
        }

        @Test
        fun `passes the parameters on as they were sent`() {
            val parameters = """[1,-9223372036854775808,1.5,2e3,"x",true,null]"""
            api.post("$DATABASE/read", "browse", body = """{"statements":[{"text":"q","parameters":$parameters}]}""")
            val work = api.receivedRequests.single().work as Work.Read
            expectThat(work.statements.single().parameters).isEqualTo(
                listOf(
                    SqlValue.Integer(1),
                    SqlValue.Integer(Long.MIN_VALUE),
                    SqlValue.Real(1.5),
                    SqlValue.Real(2_000.0),
                    SqlValue.Text("x"),
                    SqlValue.Bool(true),
                    SqlValue.Null,
                ),
            )
        }

        /** Unpaired surrogates were once sent to other VMs as question marks, so that another text ran. */
        @Test
        fun `is rejected if its text cannot be encoded`() {
            listOf("""{"text":"q\ud800"}""", """{"text":"q","parameters":["\udc00x"]}""").forEach { statement ->
                val response = api.post("$DATABASE/read", "browse", body = """{"statements":[$statement]}""")
                expectThat(response.status.code).isEqualTo(400)
                expectThat(response.bodyString()).contains("has an unpaired surrogate")
            }
            expectThat(api.receivedRequests).isEmpty()
        }

        /** In PostgreSQL's protocol the text ends at this character, and its rest would be read as other fields. */
        @Test
        fun `is rejected if its text contains the character that ends texts at the member`() {
            val body = """{"statements":[{"text":"select 1\u0000\u0000\u0001"}]}"""
            val response = api.post("$DATABASE/read", "browse", body = body)
            expectThat(response.status.code).isEqualTo(400)
            expectThat(response.bodyString()).contains("has the character U+0000")
            expectThat(api.receivedRequests).isEmpty()
        }

        @Test
        fun `uses the session token of the request`() {
            api.post("$DATABASE/read", "browse", "Kumquatknot-Session" to api.tokenOf(api.pesebre))
            expectThat(api.receivedRequests.single().token.pointOf(api.inventory).position).isEqualTo(LogPosition(5))
        }

        @Test
        fun `merges the tokens of parallel answers`() {
            val newerToken =
                SessionToken(
                    api.pesebre,
                    mapOf(api.inventory to HistoryPoint(Term(2), LogPosition(1))),
                    setOf(api.courses),
                )
            val tokens = "${api.tokenOf(api.pesebre)}, ${api.tokens.encode(newerToken)}"
            api.post("$DATABASE/read", "browse", "Kumquatknot-Session" to tokens)
            expectThat(api.receivedRequests.single().token).isEqualTo(newerToken)
        }

        @Test
        fun `is recorded in the metrics with its duration`() {
            api.answer = {
                api.now += 30.milliseconds
                api.reply(it).right()
            }
            api.post("$DATABASE/read", "browse")
            val labels = """{kind="browse",outcome="completed",rank="background",team="pesebre"}"""
            expectThat(api.metrics.exposition())
                .contains("kumquatknot_request_duration_seconds_count$labels 1")
                .contains("kumquatknot_requests_in_flight 0.0")
                .contains("""kumquatknot_reads_total{kind="browse",role="replica",team="pesebre"} 1.0""")
        }

        @Test
        fun `with a repeated key is marked as repeated`() {
            api.answer = { api.reply(it).copy(repeated = true).right() }
            val response = api.post("$DATABASE/write", "book", "Idempotency-Key" to "booking-1")
            expectThat(response.field("repeated")).isEqualTo("true")
            expectThat(api.receivedRequests.single().key).isEqualTo(IdempotencyKey("booking-1"))
        }

        @Test
        fun `reads every character that a key may have from the path`() {
            val key = ('!'..'~').joinToString("")
            val encoded = URLEncoder.encode(key, Charsets.UTF_8).replace("+", "%20")
            api.get("$DATABASE/outcomes/$encoded", "book")
            expectThat(api.receivedRequests.single().key).isEqualTo(IdempotencyKey(key))
        }
    }

    @Nested
    inner class `the deadline` {
        private fun deadline(vararg headers: Pair<String, String>): Duration {
            api.post("$DATABASE/read", "browse", *headers)
            return api.receivedRequests.last().deadline - api.now
        }

        @Test
        fun `is that of the kind, or that of the caller if it is shorter`() {
            expectThat(deadline()).isEqualTo(2_000.milliseconds)
            expectThat(deadline("Kumquatknot-Deadline-Milliseconds" to "300")).isEqualTo(300.milliseconds)
            expectThat(deadline("Kumquatknot-Deadline-Milliseconds" to "9000")).isEqualTo(2_000.milliseconds)
        }
    }

    @Nested
    inner class `the maximum age` {
        private fun age(kind: String, header: String?): Duration? {
            val headers = listOfNotNull(header?.let { "Kumquatknot-Maximum-Age-Milliseconds" to it }).toTypedArray()
            api.post("$DATABASE/read", kind, *headers)
            return (api.receivedRequests.last().work as Work.Read).maximumAge
        }

        @Test
        fun `of the caller only takes effect if it is stricter than that of the kind`() {
            expectThat(age("browse", null)).isNull()
            expectThat(age("browse", "1000")).isEqualTo(1_000.milliseconds)
            expectThat(age("browse", "60000")).isEqualTo(5_000.milliseconds)
            expectThat(age("counter", "700")).isEqualTo(700.milliseconds)
        }
    }

    @Nested
    inner class `an interactive transaction` {
        @Test
        fun `begins, runs and commits with one handle and one kind`() {
            val started = TransactionHandle(VmName("vm-1"), 7)
            api.answer = { api.reply(it).copy(transaction = started).right() }
            val handle = api.post("$DATABASE/transactions", "book").field("transaction")
            api.post("$DATABASE/transactions/$handle", null)
            api.post("$DATABASE/transactions/$handle/commit", null, "Idempotency-Key" to "k")
            api.post("$DATABASE/transactions/$handle/rollback", "book")
            val works = api.receivedRequests.map { it.work }
            expectThat(works[0]).isEqualTo(Work.Begin)
            expectThat(works[1]).isA<Work.Run>().get { transaction }.isEqualTo(started)
            expectThat(works[2]).isEqualTo(Work.Commit(started))
            expectThat(works[3]).isEqualTo(Work.Rollback(started))
            expectThat(api.receivedRequests.map { it.kind.name.value }.toSet()).isEqualTo(setOf("book"))
        }

        @Test
        fun `commits without key only if the kind is idempotent`() {
            val refused = api.post("$DATABASE/transactions/${api.handleOf()}/commit", null)
            expectThat(refused.type()).isEqualTo("key-required")
            val served = api.post("$DATABASE/transactions/${api.handleOf(kind = "clean")}/commit", null)
            expectThat(served.status.code).isEqualTo(200)
        }
    }

    @Nested
    inner class `a query for an outcome` {
        @Test
        fun `passes on the key in the path`() {
            expectThat(api.get("$DATABASE/outcomes/booking-1", "book").status.code).isEqualTo(200)
            expectThat(api.receivedRequests.single().work).isEqualTo(Work.Resolve)
            expectThat(api.receivedRequests.single().key).isEqualTo(IdempotencyKey("booking-1"))
        }

        @Test
        fun `reads every character that a key may have from the path`() {
            val key = ('!'..'~').joinToString("")
            val encoded = URLEncoder.encode(key, Charsets.UTF_8).replace("+", "%20")
            api.get("$DATABASE/outcomes/$encoded", "book")
            expectThat(api.receivedRequests.single().key).isEqualTo(IdempotencyKey(key))
        }
    }

    @Nested
    inner class `a refused request` {
        @Test
        fun `never reaches the handler`() {
            refusals().forEach { (_, refuse) -> expectThat(refuse().status.successful).isFalse() }
            expectThat(api.receivedRequests).isEmpty()
        }

        @Test
        fun `with a session token returns the token unchanged`() {
            val token = api.tokenOf(api.pesebre)
            val response = api.post("$DATABASE/write", "book", "Kumquatknot-Session" to token)
            expectThat(response.header("Kumquatknot-Session")).isEqualTo(token)
        }
    }

    @Nested
    inner class `an answer beyond the limit` {
        @Test
        fun `fails as too large and returns the session token`() {
            val rows = List(2_000) { listOf(SqlValue.Text("costume")) }
            api.answer = { api.reply(it).copy(results = listOf(StatementResult(listOf("c"), rows))).right() }
            val response = api.post("$DATABASE/read", "browse")
            expectThat(response.type()).isEqualTo("too-large")
            expectThat(response.field("effect")).isEqualTo("completed")
            expectThat(response.header("Kumquatknot-Session")).isNotNull()
        }
    }

    @Nested
    inner class `an overloaded edge` {
        @Test
        fun `rejects background work as not run and still serves urgent work`() {
            val smallApi = CallerApiFixture(capacity = 4)
            var nested: Response? = null
            var urgent: Response? = null
            smallApi.answer = { request ->
                if (request.kind.name.value == "browse" && smallApi.limits.inFlight() < 3) {
                    smallApi.post("$DATABASE/read", "browse").also { nested = nested ?: it }
                } else if (request.kind.name.value == "browse") {
                    urgent = smallApi.post("$DATABASE/read", "counter")
                }
                smallApi.reply(request).right()
            }
            smallApi.post("$DATABASE/read", "browse")
            expectThat(nested).isNotNull().get { status.code }.isEqualTo(429)
            expectThat(nested).isNotNull().get { field("effect") }.isEqualTo("not-run")
            expectThat(nested).isNotNull().get { header("Retry-After") }.isEqualTo("1")
            expectThat(urgent).isNull()
            expectThat(smallApi.post("$DATABASE/read", "counter").status.code).isEqualTo(200)
            expectThat(smallApi.limits.inFlight()).isEqualTo(0)
        }
    }

    @Nested
    inner class `a handler that throws an exception` {
        @Test
        fun `makes the outcome unknown and marks the database unresolved in the session`() {
            api.answer = { error("injected") }
            val response = api.post("$DATABASE/write", "clean")
            expectThat(response.status.code).isEqualTo(500)
            expectThat(response.field("effect")).isEqualTo("unknown")
            expectThat(response.bodyString().contains("injected")).isFalse()
            val token = api.tokens.decode(response.header("Kumquatknot-Session")!!, api.pesebre).getOrNull()
            expectThat(token).isNotNull().get { api.inventory in unresolved }.isTrue()
            expectThat(api.limits.inFlight()).isEqualTo(0)
        }
    }

    @Test
    fun `problem details of every refusal and failure`() {
        val refused = refusals().map { (name, refuse) -> "# $name\n${describe(refuse())}" }
        val failed = failures().map { failure ->
            val fresh = CallerApiFixture().also { it.fail(failure) }
            "# ${failure.reason} ${failure.effect}\n${describe(fresh.post("$DATABASE/write", "clean"))}"
        }
        Approvals.verify(
            (refused + failed).joinToString("\n\n"),
            Options().withReporter(QuietReporter.INSTANCE).forFile().withBaseName("CallerApiSpec.problems"),
        )
    }

    private fun describe(response: Response): String {
        val headers = response.headers.filter { it.first != "Kumquatknot-Session" }
        val session = if (response.header("Kumquatknot-Session") == null) "no session" else "with session"
        val lines = headers.map { (name, value) -> "$name: $value" }
        return (listOf("${response.status.code} ($session)") + lines + pretty(response.bodyString()))
            .joinToString("\n")
    }

    private fun pretty(json: String): String =
        Json.parseToJsonElement(json).jsonObject.entries
            .filter { it.key != "instance" }
            .joinToString("\n") { (name, value) -> "  $name: $value" }

    private fun refusals(): List<Pair<String, () -> Response>> =
        listOf(
            "no key" to { api.post("$DATABASE/read", "browse", "Authorization" to "") },
            "no Bearer key" to { api.post("$DATABASE/read", "browse", "Authorization" to "Basic abc") },
            "key of no team" to { api.post("$DATABASE/read", "browse", "Authorization" to "Bearer nobody") },
            "another team's key" to { api.post("$DATABASE/read", "browse", "Authorization" to "Bearer nile-key") },
            "another team's database" to { api.post("/v1/databases/courses-1/read", "browse") },
            "database that does not exist" to { api.post("/v1/databases/attic/read", "browse") },
            "no kind" to { api.post("$DATABASE/read", null) },
            "unknown kind" to { api.post("$DATABASE/read", "enrol") },
            "write of a reading kind" to { api.post("$DATABASE/write", "browse") },
            "transaction of a reading kind" to { api.post("$DATABASE/transactions", "browse") },
            "read of a writing kind" to { api.post("$DATABASE/read", "book") },
            "write without key" to { api.post("$DATABASE/write", "book") },
            "key with a blank" to { api.post("$DATABASE/write", "book", "Idempotency-Key" to "a b") },
            "key too long" to { api.post("$DATABASE/write", "book", "Idempotency-Key" to "k".repeat(256)) },
            "deadline no number" to {
                api.post("$DATABASE/read", "browse", "Kumquatknot-Deadline-Milliseconds" to "soon")
            },
            "negative age" to {
                api.post("$DATABASE/read", "browse", "Kumquatknot-Maximum-Age-Milliseconds" to "-1")
            },
            "damaged token" to { api.post("$DATABASE/read", "browse", "Kumquatknot-Session" to "AAAA") },
            "forged token" to {
                val text = api.tokenOf(api.pesebre)
                val last = if (text.last() == 'A') 'Q' else 'A'
                api.post("$DATABASE/read", "browse", "Kumquatknot-Session" to text.dropLast(1) + last)
            },
            "another team's token" to {
                api.post("$DATABASE/read", "browse", "Kumquatknot-Session" to api.tokenOf(api.nile))
            },
            "another team's token beside an own one" to {
                val tokens = "${api.tokenOf(api.pesebre)},${api.tokenOf(api.nile)}"
                api.post("$DATABASE/read", "browse", "Kumquatknot-Session" to tokens)
            },
            "too many tokens" to {
                val tokens = List(17) { api.tokenOf(api.pesebre) }.joinToString(",")
                api.post("$DATABASE/read", "browse", "Kumquatknot-Session" to tokens)
            },
            "another team's transaction" to { api.post("$DATABASE/transactions/${api.handleOf(api.nile)}", null) },
            "transaction of another database" to {
                api.post("$DATABASE/transactions/${api.handleOf(database = api.courses)}", null)
            },
            "transaction under another kind" to { api.post("$DATABASE/transactions/${api.handleOf()}", "clean") },
            "commit without key" to { api.post("$DATABASE/transactions/${api.handleOf()}/commit", null) },
            "body no JSON" to { api.post("$DATABASE/read", "browse", body = "statements") },
            "empty body" to { api.post("$DATABASE/read", "browse", body = "") },
            "body no object" to { api.post("$DATABASE/read", "browse", body = "[]") },
            "unknown field" to { api.post("$DATABASE/read", "browse", body = """{"statement":[]}""") },
            "no statements" to { api.post("$DATABASE/read", "browse", body = """{"statements":[]}""") },
            "empty text" to { api.post("$DATABASE/read", "browse", body = """{"statements":[{"text":" "}]}""") },
            "text no string" to { api.post("$DATABASE/read", "browse", body = """{"statements":[{"text":1}]}""") },
            "too many statements" to {
                val statements = List(101) { """{"text":"q"}""" }.joinToString(",")
                api.post("$DATABASE/read", "browse", body = """{"statements":[$statements]}""")
            },
            "parameter of 65 bits" to { api.post("$DATABASE/read", "browse", body = parameter("9223372036854775808")) },
            "parameter beyond floating point" to { api.post("$DATABASE/read", "browse", body = parameter("1e999")) },
            "parameter no JSON" to { api.post("$DATABASE/read", "browse", body = parameter("abc")) },
            "nested parameter" to { api.post("$DATABASE/read", "browse", body = parameter("[1]")) },
            "unknown route" to { api.post("/v1/databases", "browse") },
            "unknown method" to { api.get("$DATABASE/read", "browse") },
            "body nested too deep" to { api.post("$DATABASE/read", "browse", body = "[".repeat(9)) },
            "unreadable path" to { api.post("/v1/databases/%zz/read", "browse") },
            "unknown root" to { api.handler(Request(Method.GET, "/")) },
        )

    private fun parameter(value: String) = """{"statements":[{"text":"q","parameters":[$value]}]}"""

    private fun failures(): List<Failure> {
        val member = Peer.Member(MemberName("inventory-1-a"))

        fun of(reason: FailureReason, effect: Effect, step: Step, peer: Peer = member, retry: Duration? = null) =
            Failure(reason, effect, step, peer, "why", retry)
        return listOf(
            of(FailureReason.TRANSACTION_ENDED, Effect.NOT_RUN, Step.EXECUTE),
            of(FailureReason.STATEMENT_FAILED, Effect.NOT_RUN, Step.EXECUTE),
            of(FailureReason.KEY_REUSED, Effect.NOT_RUN, Step.EXECUTE),
            of(FailureReason.OVERLOADED, Effect.NOT_RUN, Step.ADMIT, Peer.Vm(VmName("vm-2")), 1_250.milliseconds),
            of(FailureReason.DEADLINE_UNREACHABLE, Effect.NOT_RUN, Step.ADMIT, retry = 2_000.milliseconds),
            of(FailureReason.DEADLINE_PASSED, Effect.NOT_RUN, Step.WAIT_FOR_REPLICA),
            of(FailureReason.DEADLINE_PASSED, Effect.UNKNOWN, Step.EXECUTE),
            of(FailureReason.NO_PRIMARY, Effect.NOT_RUN, Step.ROUTE, Peer.Local, 300.milliseconds),
            of(FailureReason.NOT_FRESH_ENOUGH, Effect.NOT_RUN, Step.WAIT_FOR_REPLICA),
            of(FailureReason.SUPERSEDED, Effect.NOT_RUN, Step.EXECUTE),
            of(FailureReason.SUPERSEDED, Effect.UNKNOWN, Step.CONFIRM),
            of(FailureReason.UNCONFIRMED, Effect.UNKNOWN, Step.CONFIRM),
            of(FailureReason.ABANDONED, Effect.NOT_RUN, Step.RESOLVE),
            of(FailureReason.CONNECTION_LOST, Effect.UNKNOWN, Step.COMMIT),
            of(FailureReason.CONNECTION_REFUSED, Effect.NOT_RUN, Step.CONNECT),
            of(FailureReason.VM_UNREACHABLE, Effect.NOT_RUN, Step.RELAY, Peer.Vm(VmName("vm-2"))),
            of(FailureReason.VM_UNREACHABLE, Effect.UNKNOWN, Step.RELAY, Peer.Vm(VmName("vm-2"))),
            of(FailureReason.SHUTTING_DOWN, Effect.NOT_RUN, Step.SHUTDOWN, Peer.Local, 0.milliseconds),
        )
    }
}
