package dev.kumquatknot.proxy.operator

import dev.kumquatknot.proxy.metric.NodeMetrics
import org.http4k.core.HttpHandler
import org.http4k.core.Method.GET
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes

/** Result of a health check: whether it passed, and why not. */
public data class Health(val passed: Boolean, val detail: String)

/**
 * The operators' pages of one node. They carry no callers' data and ask for no key, so they listen on a port of their
 * own that callers cannot reach.
 *
 * - `/` today's page in HTML
 * - `/status` the state of the node in JSON
 * - `/metrics` metrics in the text format of Prometheus
 * - `/health/live` 200 while the process works; a 503 asks for its replacement
 * - `/health/ready` 200 while the node takes work; a 503 asks the balancer to send none
 *
 * @param live check of the process itself.
 * @param ready check whether the node takes new work.
 * @param page today's page in HTML.
 * @param status state of the node in JSON.
 */
public class OperatorApi(
    private val live: () -> Health,
    private val ready: () -> Health,
    private val page: () -> String,
    private val status: () -> String,
    private val metrics: NodeMetrics,
) {
    /** Returns the handler of all operators' routes. */
    public fun handler(): HttpHandler =
        routes(
            "/health/live" bind GET to { health(live()) },
            "/health/ready" bind GET to { health(ready()) },
            "/metrics" bind GET to { text(NodeMetrics.CONTENT_TYPE, metrics.exposition()) },
            "/status" bind GET to { text("application/json; charset=utf-8", status()) },
            "/" bind GET to { text("text/html; charset=utf-8", page()) },
        )

    private fun health(health: Health): Response =
        Response(if (health.passed) Status.OK else Status.SERVICE_UNAVAILABLE)
            .header("Content-Type", "text/plain; charset=utf-8")
            .body(health.detail)

    private fun text(contentType: String, body: String): Response =
        Response(Status.OK).header("Content-Type", contentType).header("Cache-Control", "no-store").body(body)
}
