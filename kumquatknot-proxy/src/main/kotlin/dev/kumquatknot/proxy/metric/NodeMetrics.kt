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
 * Metrics of one node. All names start with `kumquatknot_`; times are in seconds.
 *
 * Request metrics are labelled with team, kind and rank, which come from the configuration alone: what a caller sends
 * never makes a new label.
 *
 * @param registry where the metrics are registered; one for each node.
 */
public class NodeMetrics(private val registry: PrometheusRegistry = PrometheusRegistry()) {
    private val requestDuration =
        Histogram.builder()
            .name("kumquatknot_request_duration_seconds")
            .help("Time from the arrival of a request at this VM to its final answer")
            .labelNames("team", "kind", "rank", "outcome")
            .classicOnly()
            .classicExponentialUpperBounds(SHORTEST_REQUEST_SECONDS, REQUEST_FACTOR, REQUEST_BUCKETS)
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
            .classicLinearUpperBounds(FAILOVER_WIDTH_SECONDS, FAILOVER_WIDTH_SECONDS, FAILOVER_BUCKETS)
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

    /** Counts an answered request of a known kind. */
    public fun requestCompleted(team: TeamName, kind: KindConfiguration, duration: Duration) {
        observe(team, kind, Effect.COMPLETED, duration)
    }

    /** Counts a failed request of a known kind; [reason] is the type of its problem. */
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

    /** Counts a request whose team or kind is not known. */
    public fun callerRejected(reason: FailureReason) {
        rejectedCallers.labelValues(reason.label).inc()
    }

    /** Counts a read that a member served in [role]. */
    public fun readServed(team: TeamName, kind: KindConfiguration, role: MemberRole) {
        reads.labelValues(team.value, kind.name.value, role.name.lowercase()).inc()
    }

    /** Counts the first answer to an idempotency key given again. */
    public fun answerRepeated(team: TeamName, kind: KindConfiguration) {
        repeatedAnswers.labelValues(team.value, kind.name.value).inc()
    }

    /** Counts a promotion that this VM ordered; [gap] is the time without a primary, where it is known. */
    public fun promotionEnded(database: DatabaseName, won: Boolean, gap: Duration?) {
        failovers.labelValues(database.value, if (won) "won" else "lost").inc()
        gap?.let { failoverDuration.labelValues(database.value).observe(it.toDouble(DurationUnit.SECONDS)) }
    }

    /** Sets the open connections to [member]: [idle] ones, and [busy] ones that serve a request or a transaction. */
    public fun memberConnections(member: MemberName, idle: Int, busy: Int) {
        memberConnections.labelValues(member.value, "idle").set(idle.toDouble())
        memberConnections.labelValues(member.value, "busy").set(busy.toDouble())
    }

    /** Forgets the connections of a [member] that this VM no longer serves. */
    public fun memberReleased(member: MemberName) {
        memberConnections.remove(member.value, "idle")
        memberConnections.remove(member.value, "busy")
    }

    /** Sets the number of the configuration in force. */
    public fun configurationInForce(number: Long) {
        configurationNumber.set(number.toDouble())
    }

    /** Adds a gauge called [name] whose [value] is read whenever the metrics are asked for. */
    public fun gauge(name: String, help: String, value: () -> Double) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)
    }

    /** Returns all metrics in the text format of Prometheus. */
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

        private const val SHORTEST_REQUEST_SECONDS = 0.001
        private const val REQUEST_FACTOR = 2.0
        private const val REQUEST_BUCKETS = 15
        private const val FAILOVER_WIDTH_SECONDS = 0.5
        private const val FAILOVER_BUCKETS = 24
    }
}
