package dev.kumquatknot.core.limit

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.customer.RateLimit
import dev.kumquatknot.core.identity.VmName
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * What a [TokenHolder] knows of the fleet and how it reaches it.
 *
 * @property limiters the limiter VMs in order; the first three count.
 * @property registered number of registered VMs; 0 while it is unknown.
 * @property isReturning whether this VM's name was registered before this process started, so that the number of VMs is
 * that of a fleet that ran before.
 * @property isNear whether a limiter is in this VM's region, so that it answers without a round trip between regions.
 * @property send sends a report to a limiter; returns false if that cannot be reached.
 */
public class LimiterAccess(
    public val limiters: () -> List<VmName>,
    public val registered: () -> Int,
    public val isReturning: () -> Boolean = { false },
    public val isNear: (VmName) -> Boolean = { false },
    public val send: (limiter: VmName, report: LimitReport) -> Boolean,
)

/**
 * The side of the limits that runs operations: delegates this VM's entitlement, requests tokens and admits operations
 * by them. Nothing happens while no customer has a limit.
 *
 * @param run random number of this process.
 * @param onLimitersChanged called with the limiters to which this VM now delegates.
 */
public class TokenHolder(
    private val run: Long,
    startedAt: Duration,
    private val budget: LimitBudget,
    private val access: LimiterAccess,
    private val onLimitersChanged: (List<VmName>) -> Unit = {},
) {
    private val delegations = Delegations(startedAt)
    private val own = TokenBuckets(budget)
    private val customers = HashMap<CustomerName, CustomerTokens>()
    private val links = HashMap<VmName, LimiterLink>()
    private val sentReports = LinkedHashMap<Long, Duration>()
    private val seenRegistered = HighestCount()
    private val reportedRegistered = HighestCount()
    private val decisions = ArrayDeque<() -> Unit>()
    private var isDeciding = false

    /** The first three limiters in order, read in each [advance]. */
    private var wanted = emptyList<VmName>()
    private var countKnownSince: Duration? = null
    private var lastReport = 0L

    /** Number of reports sent so far. */
    public val reports: Long get() = lastReport

    /** Replaces the limits of all customers. Operations of customers without a limit are admitted. */
    public fun configure(now: Duration, limits: Map<CustomerName, RateLimit>) {
        own.configure(now, limits)
        (customers.keys - limits.keys).forEach { name ->
            customers.remove(name)?.waiting?.forEach { decide(it, null) }
        }
        limits.forEach { (name, limit) -> customers.getOrPut(name) { CustomerTokens(limit) }.limit = limit }
        advance(now)
    }

    /**
     * Admits an operation of [customer], which may wait for [maximumWait]. Calls [decide] once, with null if it may run
     * or with the time after which its caller may return.
     */
    public fun admit(now: Duration, customer: CustomerName, maximumWait: Duration, decide: (Duration?) -> Unit) {
        val tokens = customers[customer] ?: return decide(null)
        tokens.demand.record(now)
        tokens.waiting += WaitingOperation(now + maximumWait, decide)
        serve(now, customer, tokens)
        callDecisions()
    }

    /** Takes the answer of [limiter] into account. */
    public fun receive(now: Duration, limiter: VmName, grant: LimitGrant) {
        if (grant.run != run) return
        reportedRegistered.record(now, grant.registered)
        val link = links.getOrPut(limiter) { LimiterLink() }
        link.silentSince = null
        val isOtherProcess = link.stamp?.run != grant.stamp.run
        if (isOtherProcess || grant.stamp.time > (link.stamp?.time ?: -Duration.INFINITE)) {
            link.stamp = grant.stamp
            link.stampReceivedAt = now
        }
        val validUntil = (sentReports.remove(grant.number) ?: -Duration.INFINITE) + budget.tokenLife
        grant.grants.forEach { customers[it.customer]?.answered(now, limiter, grant.number, it, validUntil) }
        if (isOtherProcess || delegations.hasLapsed(now, limiter)) report(now, limiter)
        grant.grants.forEach { granted -> customers[granted.customer]?.let { serve(now, granted.customer, it) } }
        callDecisions()
    }

    /** The link to [limiter] was lost; requests that it has not answered stay so. */
    public fun disconnected(now: Duration, limiter: VmName) {
        links[limiter]?.silentSince = -Duration.INFINITE
        customers.forEach { (name, tokens) -> if (tokens.dropRequests(limiter)) serve(now, name, tokens) }
        advance(now)
    }

    /** Does what is due: reports, the end of waits, the return of tokens. */
    public fun advance(now: Duration) {
        if (customers.isEmpty()) return
        seenRegistered.record(now, access.registered())
        if (countKnownSince == null && seenRegistered.highest(now) > 0) countKnownSince = now
        wanted = access.limiters().distinct().take(Delegations.THIRDS)
        if (delegations.direct(now, wanted)) onLimitersChanged(delegations.limiters)
        updateOwnShare(now)
        customers.forEach { (name, tokens) -> if (tokens.isActive) advance(now, name, tokens) }
        delegations.limiters.forEach { limiter ->
            val link = links.getOrPut(limiter) { LimiterLink() }
            val isDue = now >= link.reportedAt + LimitTimes.REPORT_INTERVAL
            val isDelegable = delegations.hasLapsed(now, limiter) && link.echo(now) != null
            if (isDue || isDelegable) report(now, limiter)
        }
        forgetReports(now)
        callDecisions()
    }

    /** Returns the time of the next [advance]; infinite if there is nothing to do. */
    public fun nextStep(now: Duration): Duration {
        if (customers.isEmpty()) return Duration.INFINITE
        val limiters = delegations.limiters
        val nextReport = limiters.minOfOrNull { (links[it]?.reportedAt ?: now) + LimitTimes.REPORT_INTERVAL }
        val nextOfCustomers = customers.values.filter { it.isActive }
            .minOfOrNull { it.nextStep(LimitTimes.REQUEST_TIMEOUT, LimitTimes.RETURN_BEFORE_LAPSE) }
        return minOf(nextReport ?: (now + LimitTimes.REPORT_INTERVAL), nextOfCustomers ?: Duration.INFINITE)
    }

    /** The limiters that may be asked. Without one that answers, those count that have been silent for a short time. */
    private fun usableLimiters(now: Duration): List<VmName> {
        return wanted.filter { links[it]?.silentSince == null }.ifEmpty {
            wanted.filter { now - (links[it]?.silentSince ?: now) < LimitTimes.LONGEST_SILENCE }
        }
    }

    private fun advance(now: Duration, name: CustomerName, tokens: CustomerTokens) {
        tokens.dropOverdue(now - LimitTimes.REQUEST_TIMEOUT).forEach { links[it]?.fellSilent(now) }
        tokens.dropBatches(now + LimitTimes.RETURN_BEFORE_LAPSE).forEach { batch ->
            val returned = ReturnedTokens(name, batch.tokens, batch.report)
            if (batch.validUntil > now) report(now, batch.limiter, returned = listOf(returned))
        }
        serve(now, name, tokens)
        val late = tokens.waiting.filter { it.until <= now }
        tokens.waiting.removeAll(late)
        late.forEach { refuse(now, tokens, it) }
    }

    /** Admits waiting operations, requests the tokens that are missing, and refuses what no token can come for. */
    private fun serve(now: Duration, name: CustomerName, tokens: CustomerTokens) {
        while (tokens.waiting.isNotEmpty() && tokens.take(now)) admitFirst(now, tokens)
        if (tokens.waiting.isNotEmpty()) {
            updateOwnShare(now)
            while (tokens.waiting.isNotEmpty() && own.take(now, name, 1) == 1) admitFirst(now, tokens)
        }
        request(now, name, tokens)
        val limiters = usableLimiters(now)
        if (!tokens.awaits(limiters)) {
            tokens.waiting.forEach { refuse(now, tokens, it) }
            tokens.waiting.clear()
        }
    }

    private fun request(now: Duration, name: CustomerName, tokens: CustomerTokens) {
        val ahead = (tokens.demand.perSecond(now) * aheadSeconds).toInt().takeIf { it >= LEAST_AHEAD } ?: 0
        do {
            val expected = tokens.held + tokens.requested
            val isShort = tokens.waiting.size > expected || expected < ahead / 2
            val limiter = if (isShort) tokens.nextLimiter(now, usableLimiters(now), access.isNear) else null
            if (limiter != null) {
                val missing = tokens.waiting.size + ahead - expected
                val isSent = report(now, limiter, listOf(TokenDemand(name, missing)))
                if (isSent) tokens.requested(now, limiter, lastReport, missing)
            }
        } while (limiter != null)
    }

    private val aheadSeconds =
        (budget.tokenLife - LimitTimes.RETURN_BEFORE_LAPSE).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)

    private fun report(
        now: Duration,
        limiter: VmName,
        demands: List<TokenDemand> = emptyList(),
        returned: List<ReturnedTokens> = emptyList(),
    ): Boolean {
        val link = links.getOrPut(limiter) { LimiterLink() }
        val echo = link.echo(now)
        val thirds = if (echo == null) 0 else delegations.delegate(now, limiter)
        // The delegated share must be gone from this VM's buckets before the limiter can use it.
        if (thirds > 0) updateOwnShare(now)
        lastReport++
        link.reportedAt = now
        if (demands.isNotEmpty()) sentReports[lastReport] = now
        val seen = seenRegistered.highest(now)
        val report = LimitReport(run, lastReport, echo, thirds, divisor(now), seen, demands, returned)
        val isSent = access.send(limiter, report)
        if (!isSent) link.silentSince = -Duration.INFINITE
        return isSent
    }

    private fun divisor(now: Duration): Int {
        // The numbers that were recorded before a suspension of this VM no longer count.
        seenRegistered.record(now, access.registered())
        val highest = maxOf(seenRegistered.highest(now), reportedRegistered.highest(now))
        val since = countKnownSince
        val isSettled = since != null && (access.isReturning() || now >= since + LimitTimes.COUNT_SETTLING)
        return if (isSettled && highest > 0) highest else maxOf(highest, LimitTimes.LARGEST_FLEET)
    }

    private fun updateOwnShare(now: Duration) = own.changeShare(now, delegations.ownShare(now) / divisor(now))

    private fun admitFirst(now: Duration, tokens: CustomerTokens) {
        tokens.recordAdmitted(now)
        decide(tokens.waiting.removeFirst(), null)
    }

    private fun refuse(now: Duration, tokens: CustomerTokens, operation: WaitingOperation) {
        val untilEntitled = (delegations.beginning - now).coerceAtLeast(Duration.ZERO)
        val available = tokens.timeUntilToken(now, usableLimiters(now)) ?: LimitTimes.REPORT_INTERVAL
        val ownRate = tokens.limit.operationsPerSecond / divisor(now)
        val retryAfter = tokens.retryAfter(now, maxOf(untilEntitled, available), ownRate)
        decide(operation, retryAfter)
    }

    private fun decide(operation: WaitingOperation, retryAfter: Duration?) {
        decisions += { operation.decide(retryAfter) }
    }

    /** Calls the decided operations when the state is consistent: one of them may submit the next operation. */
    private fun callDecisions() {
        if (isDeciding) return
        isDeciding = true
        try {
            while (decisions.isNotEmpty()) decisions.removeFirst()()
        } finally {
            isDeciding = false
        }
    }

    private fun forgetReports(now: Duration) {
        val entries = sentReports.values.iterator()
        while (entries.hasNext() && entries.next() < now - budget.tokenLife) entries.remove()
    }

    private class LimiterLink {
        var stamp: LimiterStamp? = null
        var stampReceivedAt = -Duration.INFINITE
        var reportedAt = -Duration.INFINITE

        /** Time since which requests stay unanswered; null if the limiter answers. */
        var silentSince: Duration? = null

        fun fellSilent(now: Duration) {
            silentSince = silentSince ?: now
        }

        fun echo(now: Duration) = stamp?.takeIf { now - stampReceivedAt <= LimitTimes.LONGEST_ECHO_AGE }
    }

    private companion object {
        /** Fewer tokens are requested when an operation needs them, since most of them would be returned unused. */
        const val LEAST_AHEAD = 2
    }
}
