package dev.kumquatknot.proxy.metric

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Returns all metrics of this registry in the Prometheus text format. */
internal fun PrometheusRegistry.exposition(): String {
    val text = ByteArrayOutputStream()
    PrometheusTextFormatWriter(false).write(text, scrape())
    return text.toString(Charsets.UTF_8)
}
