package dev.kumquatknot.proxy.operator

import dev.kumquatknot.proxy.metric.NodeMetrics
import org.http4k.core.Method
import org.http4k.core.Request
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith

class OperatorApiSpec {
    private var ready = Health(true, "serving")
    private val metrics = NodeMetrics()
    private val handler =
        OperatorApi({ Health(true, "alive") }, { ready }, { "<p>Today went well.</p>" }, { "{}" }, metrics).handler()

    private fun get(path: String) = handler(Request(Method.GET, path))

    @Nested
    inner class `health` {
        @Test
        fun `is ready until the readiness check fails, and stays live`() {
            expectThat(get("/health/ready").status.code).isEqualTo(200)
            ready = Health(false, "stopping")
            expectThat(get("/health/ready").status.code).isEqualTo(503)
            expectThat(get("/health/ready").bodyString()).isEqualTo("stopping")
            expectThat(get("/health/live").status.code).isEqualTo(200)
        }
    }

    @Nested
    inner class `pages` {
        @Test
        fun `have their content types`() {
            expectThat(get("/").header("Content-Type")).isEqualTo("text/html; charset=utf-8")
            expectThat(get("/").bodyString()).isEqualTo("<p>Today went well.</p>")
            expectThat(get("/status").header("Content-Type")).isEqualTo("application/json; charset=utf-8")
        }

        @Test
        fun `include the metrics in the Prometheus format`() {
            metrics.configurationInForce(7)
            expectThat(get("/metrics").header("Content-Type")).isEqualTo(NodeMetrics.CONTENT_TYPE)
            expectThat(get("/metrics").bodyString().lines().last { it.isNotEmpty() && !it.startsWith("#") })
                .startsWith("kumquatknot_configuration_number 7.0")
        }

        @Test
        fun `do not include the routes of callers`() {
            expectThat(get("/v1/openapi.json").status.code).isEqualTo(404)
        }
    }
}
