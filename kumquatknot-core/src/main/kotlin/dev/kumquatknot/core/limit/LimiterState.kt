package dev.kumquatknot.core.limit

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.customer.RateLimit
import dev.kumquatknot.core.identity.VmName
import kotlin.time.Duration

/**
 * The counting side of one limiter: grants tokens for the entitlements that are delegated to it.
 *
 * @param run random number of this process.
 * @param registered number of VMs that are registered as far as this VM knows; 0 if it is unknown.
 */
public class LimiterState(
    private val run: Long,
    private val budget: LimitBudget,
    private val registered: () -> Int,
) {
    private val buckets = TokenBuckets(budget)
    private val delegations = HashMap<VmName, Delegation>()
    private val granted = LinkedHashMap<GrantKey, Granted>()

    /** Number of tokens in [granted] by customer. */
    private val outstanding = HashMap<CustomerName, Int>()
    private val seenRegistered = HighestCount()
    private var divisor = 0
    private var firstLapse = Duration.INFINITE

    /** Share of the limits that is delegated to this limiter. */
    public val share: Double get() = buckets.share

    /** Replaces the limits of all customers; tokens above a lowered limit are dropped. */
    public fun configure(now: Duration, limits: Map<CustomerName, RateLimit>) {
        lapse(now)
        buckets.configure(now, limits)
    }

    /** Counts the delegation in [report], grants what it requests and returns the answer. */
    public fun receive(now: Duration, from: VmName, report: LimitReport): LimitGrant {
        lapse(now)
        seenRegistered.record(now, registered())
        seenRegistered.record(now, report.registered)
        update(now, from, report)
        forgetGrants(now)
        report.returned.forEach { takeBack(now, from, report.run, it) }
        val grants = report.demands.map { demand ->
            val tokens = buckets.take(now, demand.customer, demand.tokens.coerceAtLeast(0))
            if (tokens > 0) remember(GrantKey(from, report.run, report.number, demand.customer), Granted(now, tokens))
            TokenGrant(demand.customer, tokens, buckets.timeUntilToken(now, demand.customer))
        }
        return LimitGrant(report.run, report.number, LimiterStamp(run, now), seenRegistered.highest(now), grants)
    }

    private fun update(now: Duration, from: VmName, report: LimitReport) {
        val former = delegations[from]
        if (former?.run == report.run && report.number <= former.number) return
        val stamp = report.echo
        if (stamp != null && stamp.run == run && report.thirds > 0) {
            val until = minOf(stamp.time, now) + Delegations.LAPSE_AT_LIMITER
            val thirds = report.thirds.coerceAtMost(Delegations.THIRDS)
            if (until > now) delegations[from] = Delegation(report.run, report.number, thirds, report.divisor, until)
            firstLapse = minOf(firstLapse, until)
        }
        val next = maxOf(seenRegistered.highest(now), delegations.size)
        val current = delegations[from]
        if (next != divisor || former?.weight(next) != current?.weight(next)) {
            divisor = next
            updateShare(now)
        }
    }

    /** Ends the delegations that have lapsed by [now], each at its time. */
    private fun lapse(now: Duration) {
        if (now < firstLapse) return
        val lapsed = delegations.filterValues { it.until <= now }.entries.sortedBy { it.value.until }
        lapsed.forEach { (vm, delegation) ->
            delegations.remove(vm)
            updateShare(delegation.until)
        }
        firstLapse = delegations.values.minOfOrNull { it.until } ?: Duration.INFINITE
    }

    private fun updateShare(at: Duration) = buckets.changeShare(at, delegations.values.sumOf { it.weight(divisor) })

    private fun remember(key: GrantKey, grant: Granted) {
        granted.remove(key)?.let { outstanding.merge(key.customer, -it.tokens, Int::plus) }
        granted[key] = grant
        outstanding.merge(key.customer, grant.tokens, Int::plus)
    }

    private fun takeBack(now: Duration, from: VmName, process: Long, returned: ReturnedTokens) {
        val grant = granted[GrantKey(from, process, returned.report, returned.customer)] ?: return
        val tokens = returned.tokens.coerceIn(0, grant.tokens)
        grant.tokens -= tokens
        val others = outstanding.merge(returned.customer, -tokens, Int::plus) ?: 0
        buckets.putBack(now, returned.customer, tokens, others)
    }

    /**
     * Forgets grants after the life of their tokens. A token that came back later would fill a bucket in addition to
     * the rate, and windows that do not contain its grant would exceed the bound.
     */
    private fun forgetGrants(now: Duration) {
        while (granted.isNotEmpty()) {
            val (key, oldest) = granted.entries.first()
            if (oldest.at >= now - budget.tokenLife) return
            granted.remove(key)
            outstanding.merge(key.customer, -oldest.tokens, Int::plus)
        }
    }

    private data class GrantKey(val vm: VmName, val run: Long, val report: Long, val customer: CustomerName)

    private class Granted(val at: Duration, var tokens: Int)

    private class Delegation(
        val run: Long,
        val number: Long,
        private val thirds: Int,
        private val divisor: Int,
        val until: Duration,
    ) {
        fun weight(registered: Int): Double =
            thirds.toDouble() / Delegations.THIRDS / maxOf(divisor, registered, 1)
    }
}
