package dev.kumquatknot.proxy.metric

import dev.kumquatknot.core.configuration.Rank
import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.databasegroup.FailoverReason
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.RejectionCode
import io.prometheus.metrics.core.datapoints.DistributionDataPoint
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Metrics of interactive sessions. Labels come from the configuration, never from callers' input. Each metric is
 * created at its first use, after a starting node has begun to listen.
 */
public class InteractiveMetrics {
    private val registry by lazy { PrometheusRegistry() }
    private val duration by lazy {
        histogram(
            "kumquatknot_statement_duration_seconds",
            "Time from the arrival of a statement at this VM to its final answer",
            "consistency",
            "rank",
            "outcome",
        )
    }
    private val wait by lazy {
        histogram(
            "kumquatknot_statement_wait_seconds",
            "Time from the arrival of a statement at this VM until it had a slot and a connection",
            "consistency",
            "rank",
        )
    }
    private val rejections by lazy {
        counter(
            "kumquatknot_statement_rejections_total",
            "Statements that were rejected, by code",
            "consistency",
            "rank",
            "code",
        )
    }
    private val customers by lazy { CustomerOperations().also { registry.register(it) } }
    private val failovers by lazy {
        counter("kumquatknot_failover_orders_total", "Orders to fail over, by reason", "reason")
    }

    private val storeCalls by lazy {
        counter(
            "kumquatknot_store_calls_total",
            "Calls to the platform's store, by purpose and kind of call",
            "purpose",
            "call",
        )
    }
    private val polls by lazy {
        counter("kumquatknot_member_polls_total", "Polls of members, by purpose", "purpose")
    }
    private val openings by lazy {
        counter("kumquatknot_member_connections_opened_total", "Connections opened to members, by reason", "reason")
    }

    /** The series of each class of statements, as a lookup by label values costs more than the observation. */
    private val series = ConcurrentHashMap<StatementClass, StatementSeries>()

    /** Counts a statement that ended after [time], of which it [waited]; [code] is null where it succeeded. */
    public fun statementEnded(route: InteractiveRoute, code: RejectionCode?, time: Duration, waited: Duration?) {
        val series = series.computeIfAbsent(StatementClass(route.consistency, route.rank)) { StatementSeries(it) }
        val ended = if (code == null) series.completed else series.rejected
        ended.observe(time.toDouble(DurationUnit.SECONDS))
        if (waited != null) series.waited.observe(waited.toDouble(DurationUnit.SECONDS))
        if (code != null) {
            rejections.labelValues(series.consistency, series.rank, code.name.lowercase()).inc()
        }
    }

    /** Counts an order to fail over for [reason]. */
    public fun failoverOrdered(reason: FailoverReason) {
        failovers.labelValues(reason.name.lowercase()).inc()
    }

    /** Counts an operation of [customer], which its limit admitted or refused. */
    public fun customerOperation(customer: CustomerName, isAdmitted: Boolean): Unit =
        customers.record(customer, isAdmitted)

    /** Counts a call to the store. */
    public fun storeCalled(purpose: StorePurpose, call: StoreCall) {
        storeCalls.labelValues(purpose.label, call.label).inc()
    }

    /** Counts a poll of a member. */
    public fun memberPolled(purpose: PollPurpose) {
        polls.labelValues(purpose.label).inc()
    }

    /** Counts an attempt to open a connection to a member. */
    public fun connectionOpening(reason: OpeningReason) {
        openings.labelValues(reason.label).inc()
    }

    /** Returns all metrics in the text format of Prometheus. */
    public fun exposition(): String = registry.exposition()

    private fun histogram(name: String, help: String, vararg labels: String): Histogram =
        Histogram.builder().name(name).help(help).labelNames(*labels)
            .classicOnly().classicExponentialUpperBounds(SHORTEST_SECONDS, FACTOR, BUCKETS).register(registry)

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)

    private data class StatementClass(val consistency: ReadConsistency, val rank: Rank)

    private inner class StatementSeries(statements: StatementClass) {
        val consistency = statements.consistency.name.lowercase()
        val rank = statements.rank.name.lowercase()
        val completed: DistributionDataPoint by lazy { duration.labelValues(consistency, rank, "completed") }
        val rejected: DistributionDataPoint by lazy { duration.labelValues(consistency, rank, "rejected") }
        val waited: DistributionDataPoint by lazy { wait.labelValues(consistency, rank) }
    }

    private companion object {
        const val SHORTEST_SECONDS = 0.001
        const val FACTOR = 2.0
        const val BUCKETS = 14
    }
}
