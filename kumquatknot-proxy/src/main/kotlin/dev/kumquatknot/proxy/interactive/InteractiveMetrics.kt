package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.RejectionCode
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Metrics of interactive sessions. Labels come from the configuration, never from what a caller sends. */
public class InteractiveMetrics(private val registry: PrometheusRegistry = PrometheusRegistry()) {
    private val duration =
        Histogram.builder()
            .name("kumquatknot_statement_duration_seconds")
            .help("Time from the arrival of a statement at this VM to its final answer")
            .labelNames("consistency", "rank", "outcome")
            .classicOnly()
            .classicExponentialUpperBounds(SHORTEST_SECONDS, FACTOR, BUCKETS)
            .register(registry)
    private val rejections =
        Counter.builder()
            .name("kumquatknot_statement_rejections_total")
            .help("Statements that were rejected, by code")
            .labelNames("consistency", "rank", "code")
            .register(registry)

    /** Counts a statement that ended after [time]; [code] is null where it succeeded. */
    public fun statementEnded(route: InteractiveRoute, code: RejectionCode?, time: Duration) {
        val consistency = route.consistency.name.lowercase()
        val rank = route.rank.name.lowercase()
        val outcome = if (code == null) "completed" else "rejected"
        duration.labelValues(consistency, rank, outcome).observe(time.toDouble(DurationUnit.SECONDS))
        if (code != null) rejections.labelValues(consistency, rank, code.name.lowercase()).inc()
    }

    /** Returns all metrics in the text format of Prometheus. */
    public fun exposition(): String {
        val text = ByteArrayOutputStream()
        PrometheusTextFormatWriter(false).write(text, registry.scrape())
        return text.toString(Charsets.UTF_8)
    }

    private companion object {
        const val SHORTEST_SECONDS = 0.001
        const val FACTOR = 2.0
        const val BUCKETS = 14
    }
}
