package dev.kumquatknot.proxy.caller

import dev.kumquatknot.proxy.caller.CallerApiFixture.Companion.BODY
import dev.kumquatknot.proxy.caller.CallerApiFixture.Companion.DATABASE
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit

@Timeout(value = 120, unit = TimeUnit.SECONDS, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CallerApiPropertySpec {
    private val seed = System.getProperty("kumquatknot.seed")?.toLong() ?: 20_261_204L
    private val api = CallerApiFixture()
    private val fragments =
        listOf(
            "{",
            "}",
            "[",
            "]",
            ",",
            ":",
            "\"",
            "\\",
            "\\u00",
            "null",
            "true",
            "-",
            "0",
            "1e",
            "9".repeat(30),
            ".5",
            "\"statements\"",
            "\"text\"",
            "\"parameters\"",
            "é",
            "\u0000",
            " ",
            "%",
            "%2F",
            "%zz",
            "/",
            "..",
            ";",
            "?",
            "#",
        )

    private val text =
        arbitrary {
            val parts = List(Arb.int(0..12).bind()) {
                if (Arb.int(0..3).bind() == 0) Arb.string(0..5).bind() else Arb.element(fragments).bind()
            }
            parts.joinToString("")
        }

    /** A valid body in which a few bytes are replaced, removed or repeated. */
    private val mutatedBody =
        arbitrary {
            val bytes = """{"statements":[{"text":"select ?","parameters":[1,-2.5e3,"é",null,true]}]}""".toByteArray()
            (0 until Arb.int(1..4).bind()).fold(bytes.toList()) { all, _ ->
                val at = Arb.int(all.indices).bind()
                when (Arb.int(0..2).bind()) {
                    0 -> all.take(at) + Arb.byte().bind() + all.drop(at + 1)
                    1 -> all.take(at) + all.drop(at + 1)
                    else -> all.take(at) + all.drop(maxOf(0, at - 3))
                }
            }.toByteArray()
        }

    private fun checkResponses(arbitrary: Arb<Request>, iterations: Int = 3_000) =
        runBlocking {
            checkAll(PropTestConfig(seed = seed, iterations = iterations), arbitrary) { expectTyped(api.handler(it)) }
        }

    private fun expectTyped(response: Response) {
        if (response.status.code == 200) return
        expectThat(response.status.code).isIn(400..499)
        expectThat(response.header("Content-Type")).isEqualTo(Problem.CONTENT_TYPE)
        val problem = Json.parseToJsonElement(response.bodyString()).jsonObject
        expectThat(problem.getValue("effect").jsonPrimitive.content).isEqualTo("not-run")
    }

    private fun request(path: String = "$DATABASE/read", body: ByteArray = BODY.toByteArray()): Request =
        Request(Method.POST, path)
            .header("Authorization", "Bearer ${CallerApiFixture.PESEBRE_KEY}")
            .header("Kumquatknot-Kind", "browse")
            .body(Body(ByteBuffer.wrap(body)))

    @Nested
    inner class `an invalid request gets a typed problem` {
        @Test
        fun `for random bodies`() {
            checkResponses(arbitrary { request(body = Arb.byteArray(Arb.int(0..200), Arb.byte()).bind()) })
        }

        @Test
        fun `for bodies of JSON fragments`() {
            checkResponses(arbitrary { request(body = text.bind().toByteArray()) })
        }

        @Test
        fun `for mutated valid bodies`() {
            checkResponses(arbitrary { request(body = mutatedBody.bind()) })
        }

        @Test
        fun `for random headers`() {
            val names =
                with(CallerHeaders) { listOf(AUTHORIZATION, KIND, SESSION, IDEMPOTENCY_KEY, DEADLINE, MAXIMUM_AGE) }
            checkResponses(arbitrary { request().replaceHeader(Arb.element(names).bind(), text.bind()) })
        }

        @Test
        fun `for random paths`() {
            val ends = listOf("read", "write", "transactions", "transactions/x/commit", "outcomes/k", "")
            checkResponses(arbitrary { request(path = "/v1/databases/${text.bind()}/${Arb.element(ends).bind()}") })
            checkResponses(arbitrary { request(path = "$DATABASE/transactions/${text.bind()}") })
            checkResponses(arbitrary { request(path = "$DATABASE/outcomes/${text.bind()}").method(Method.GET) })
        }

        @Test
        fun `for bodies of a megabyte of nesting or digits`() {
            listOf("[", "{\"statements\":[", "{\"a\":", "1").forEach { unit ->
                val body = unit.repeat(1_000_000 / unit.length).toByteArray()
                expectThat(api.handler(request(body = body)).status.code).isEqualTo(400)
            }
            val digits = """{"statements":[{"text":"q","parameters":[${"1".repeat(900_000)}.5e9]}]}"""
            expectThat(api.handler(request(body = digits.toByteArray())).status.code).isEqualTo(400)
        }
    }
}
