package dev.kumquatknot.proxy.metric

import dev.kumquatknot.core.configuration.KindConfiguration
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.outcome.Effect
import dev.kumquatknot.core.outcome.FailureReason
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Prometheus metrics of one node. All names start with `kumquatknot_`; times are in seconds.
 *
 * Request metrics are labelled with team, kind and rank from the configuration only, so that callers can't create new
 * label values.
 *
 * @param registry registry of the metrics; each node needs its own.
 */
public class NodeMetrics(private val registry: PrometheusRegistry = PrometheusRegistry()) {
    private val requestDuration =
        Histogram.builder()
            .name("kumquatknot_request_duration_seconds")
            .help("Time from the arrival of a request at this VM to its final answer")
            .labelNames("team", "kind", "rank", "outcome")
            .classicOnly()
            .classicExponentialUpperBounds(FIRST_REQUEST_BUCKET_SECONDS, REQUEST_BUCKET_FACTOR, REQUEST_BUCKETS)
            .register(registry)
    private val reads =
        Counter.builder()
            .name("kumquatknot_reads_total")
            .help("Completed reads by the role of the member that served them")
            .labelNames("team", "kind", "role")
            .register(registry)
    private val refusals =
        Counter.builder()
            .name("kumquatknot_refusals_total")
            .help("Requests that were refused or failed, by reason and effect")
            .labelNames("team", "kind", "rank", "reason", "effect")
            .register(registry)
    private val rejectedCallers =
        Counter.builder()
            .name("kumquatknot_rejected_callers_total")
            .help("Requests that did not get past the checks of the edge, by reason")
            .labelNames("reason")
            .register(registry)
    private val repeatedAnswers =
        Counter.builder()
            .name("kumquatknot_repeated_answers_total")
            .help("Answers given again to a repeated idempotency key")
            .labelNames("team", "kind")
            .register(registry)
    private val unknownOutcomes =
        Counter.builder()
            .name("kumquatknot_unknown_outcomes_total")
            .help("Requests that ended with unknown outcome")
            .labelNames("team", "kind")
            .register(registry)
    private val failovers =
        Counter.builder()
            .name("kumquatknot_failovers_total")
            .help("Promotions that this VM carried out, by result")
            .labelNames("database", "result")
            .register(registry)
    private val failoverDuration =
        Histogram.builder()
            .name("kumquatknot_failover_duration_seconds")
            .help("Time from the last answer of the old primary to the first of the new one")
            .labelNames("database")
            .classicOnly()
            .classicLinearUpperBounds(FAILOVER_BUCKET_WIDTH_SECONDS, FAILOVER_BUCKET_WIDTH_SECONDS, FAILOVER_BUCKETS)
            .register(registry)
    private val memberConnections =
        Gauge.builder()
            .name("kumquatknot_member_connections")
            .help("Open connections of this VM to a member, by state")
            .labelNames("member", "state")
            .register(registry)
    private val configurationNumber =
        Gauge.builder()
            .name("kumquatknot_configuration_number")
            .help("Number of the configuration in force")
            .register(registry)

    /** Records a completed request of a known kind. */
    public fun requestCompleted(team: TeamName, kind: KindConfiguration, duration: Duration) {
        observe(team, kind, Effect.COMPLETED, duration)
    }

    /** Records a failed request of a known kind; [reason] is its problem type. */
    public fun requestFailed(
        team: TeamName,
        kind: KindConfiguration,
        reason: String,
        effect: Effect,
        duration: Duration,
    ) {
        observe(team, kind, effect, duration)
        refusals
            .labelValues(team.value, kind.name.value, kind.rank.label, reason, effect.label)
            .inc()
        if (effect == Effect.UNKNOWN) unknownOutcomes.labelValues(team.value, kind.name.value).inc()
    }

    /** Counts a request that was rejected before its team and kind were known. */
    public fun callerRejected(reason: FailureReason) {
        rejectedCallers.labelValues(reason.label).inc()
    }

    /** Counts a completed read that a member served in [role]. */
    public fun readServed(team: TeamName, kind: KindConfiguration, role: MemberRole) {
        reads.labelValues(team.value, kind.name.value, role.name.lowercase()).inc()
    }

    /** Counts a stored response that was returned again for a repeated idempotency key. */
    public fun answerRepeated(team: TeamName, kind: KindConfiguration) {
        repeatedAnswers.labelValues(team.value, kind.name.value).inc()
    }

    /** Counts a promotion that this VM ordered; [gap] is the time without a primary, if it is known. */
    public fun promotionEnded(database: DatabaseName, won: Boolean, gap: Duration?) {
        failovers.labelValues(database.value, if (won) "won" else "lost").inc()
        gap?.let { failoverDuration.labelValues(database.value).observe(it.toDouble(DurationUnit.SECONDS)) }
    }

    /** Sets the number of open connections to [member]; [busy] ones serve a request or a transaction. */
    public fun memberConnections(member: MemberName, idle: Int, busy: Int) {
        memberConnections.labelValues(member.value, "idle").set(idle.toDouble())
        memberConnections.labelValues(member.value, "busy").set(busy.toDouble())
    }

    /** Removes the connection gauges of a [member] that this VM no longer serves. */
    public fun memberReleased(member: MemberName) {
        memberConnections.remove(member.value, "idle")
        memberConnections.remove(member.value, "busy")
    }

    /** Sets the number of the configuration in force. */
    public fun configurationInForce(number: Long) {
        configurationNumber.set(number.toDouble())
    }

    /** Registers a gauge called [name] whose [value] is read on each scrape. */
    public fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun exposition(): String = registry.exposition()

    private fun observe(team: TeamName, kind: KindConfiguration, effect: Effect, duration: Duration) {
        requestDuration
            .labelValues(team.value, kind.name.value, kind.rank.label, effect.label)
            .observe(duration.toDouble(DurationUnit.SECONDS))
    }

    private val Enum<*>.label: String get() = name.lowercase().replace('_', '-')

    public companion object {
        /** Content type of [exposition]. */
        public const val CONTENT_TYPE: String = PrometheusTextFormatWriter.CONTENT_TYPE

        private const val FIRST_REQUEST_BUCKET_SECONDS = 0.001
        private const val REQUEST_BUCKET_FACTOR = 2.0
        private const val REQUEST_BUCKETS = 15
        private const val FAILOVER_BUCKET_WIDTH_SECONDS = 0.5
        private const val FAILOVER_BUCKETS = 24
    }
}
