package dev.kumquatknot.proxy.operator

import dev.kumquatknot.proxy.metric.NodeMetrics
import org.http4k.core.HttpHandler
import org.http4k.core.Method.GET
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes

/** Result of a health check: whether it passed, and a description of the state that it found. */
public data class Health(val passed: Boolean, val detail: String)

/**
 * HTTP API for operators of one node. It exposes no caller data and requires no key, so it is served on a separate
 * port that callers cannot reach.
 *
 * - `/` the operators' page of the current day in HTML
 * - `/status` the state of the node in JSON
 * - `/metrics` metrics in the Prometheus text format
 * - `/health/live` 200 while the process works; 503 asks for its replacement
 * - `/health/ready` 200 while the node accepts work; 503 asks the load balancer to send none
 *
 * @param live liveness check of the process.
 * @param ready readiness check: whether the node accepts new work.
 * @param page renders the operators' page of the current day in HTML.
 * @param status renders the state of the node in JSON.
 */
public class OperatorApi(
    private val live: () -> Health,
    private val ready: () -> Health,
    private val page: () -> String,
    private val status: () -> String,
    private val metrics: NodeMetrics,
) {
    /** Returns the HTTP handler of all operator routes. */
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
