package dev.kumquatknot.proxy.metric

import dev.kumquatknot.core.customer.CustomerName
import io.prometheus.metrics.model.registry.Collector
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot
import io.prometheus.metrics.model.snapshots.Labels
import io.prometheus.metrics.model.snapshots.MetricSnapshot
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/**
 * Counts the admitted and refused operations of customers. The customers with the most operations are named; the others
 * are counted together, since each label costs every scrape.
 */
internal class CustomerOperations : Collector {
    private val counts = ConcurrentHashMap<CustomerName, Counts>()

    fun record(customer: CustomerName, isAdmitted: Boolean) {
        val count = counts.computeIfAbsent(customer) { Counts() }
        (if (isAdmitted) count.admitted else count.refused).increment()
    }

    override fun collect(): MetricSnapshot {
        val ordered = counts.entries.sortedByDescending { it.value.admitted.sum() + it.value.refused.sum() }
        val named = ordered.take(NAMED_CUSTOMERS).map { (customer, count) -> customer.value to listOf(count) }
        val others = ordered.drop(NAMED_CUSTOMERS).map { it.value }
        val series = (named + listOf(OTHERS to others)).filter { it.second.isNotEmpty() }
        val builder = CounterSnapshot.builder()
            .name("kumquatknot_customer_operations")
            .help("Operations of the customers with the most of them, and of all others together")
        series.flatMap { (label, counted) -> points(label, counted) }.forEach { builder.dataPoint(it) }
        return builder.build()
    }

    private fun points(label: String, counted: List<Counts>) = listOf(
        point(label, "admitted", counted.sumOf { it.admitted.sum() }),
        point(label, "refused", counted.sumOf { it.refused.sum() }),
    )

    private fun point(customer: String, outcome: String, value: Long): CounterDataPointSnapshot =
        CounterDataPointSnapshot.builder()
            .labels(Labels.of("customer", customer, "outcome", outcome))
            .value(value.toDouble())
            .build()

    private class Counts {
        val admitted = LongAdder()
        val refused = LongAdder()
    }

    private companion object {
        const val NAMED_CUSTOMERS = 20

        /** No name of a customer is empty. */
        const val OTHERS = ""
    }
}
