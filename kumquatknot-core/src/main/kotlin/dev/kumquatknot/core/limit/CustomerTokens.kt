package dev.kumquatknot.core.limit

import dev.kumquatknot.core.customer.RateLimit
import dev.kumquatknot.core.identity.VmName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tokens, requests and waiting operations of one customer on this VM. */
internal class CustomerTokens(var limit: RateLimit) {
    private val batches = ArrayDeque<Batch>()
    private val requests = ArrayList<Request>()

    /** Time until which a limiter is not asked. */
    private val emptyUntil = HashMap<VmName, Duration>()

    /** Time at which a limiter that had too few tokens expected the next one. */
    private val nextToken = HashMap<VmName, Duration>()
    private val admitted = RateEstimate()
    private var nextRetry = Duration.ZERO
    private var turn = 0

    val waiting = ArrayDeque<WaitingOperation>()
    val demand = RateEstimate()

    val held: Int get() = batches.sumOf { it.tokens }

    val requested: Int get() = requests.sumOf { it.tokens }

    val isActive: Boolean get() = waiting.isNotEmpty() || batches.isNotEmpty() || requests.isNotEmpty()

    /** Takes a token that is valid at [now]. */
    fun take(now: Duration): Boolean {
        batches.removeAll { it.validUntil <= now || it.tokens == 0 }
        val batch = batches.firstOrNull() ?: return false
        batch.tokens--
        if (batch.tokens == 0) batches.removeFirst()
        return true
    }

    /** Counts an admitted operation. */
    fun recordAdmitted(now: Duration) = admitted.record(now)

    /** Returns the next of the [limiters] in turn that may have tokens, the near ones first; null if none may. */
    fun nextLimiter(now: Duration, limiters: List<VmName>, isNear: (VmName) -> Boolean): VmName? {
        val open = limiters.indices.map { limiters[(turn + it) % limiters.size] }.filter { isOpen(now, it) }
        return (open.firstOrNull(isNear) ?: open.firstOrNull())?.also { turn++ }
    }

    /** Whether one of the [limiters] was asked and has not answered. */
    fun awaits(limiters: List<VmName>): Boolean = requests.any { it.limiter in limiters }

    fun requested(now: Duration, limiter: VmName, report: Long, tokens: Int) {
        requests += Request(limiter, report, tokens, now)
    }

    /** Takes the answer of [limiter] to [report], which was sent at [sentAt], into account. */
    fun answered(now: Duration, limiter: VmName, report: Long, grant: TokenGrant, validUntil: Duration) {
        val request = requests.firstOrNull { it.report == report && it.limiter == limiter }
        if (request != null) requests -= request
        if (grant.tokens > 0 && validUntil > now) batches += Batch(limiter, report, grant.tokens, validUntil)
        if (grant.tokens < (request?.tokens ?: 1)) {
            val untilToken = grant.retryAfter ?: LONGEST_RETRY
            nextToken[limiter] = now + untilToken
            emptyUntil[limiter] = now + untilToken.coerceIn(SHORTEST_PAUSE, LONGEST_PAUSE)
        }
    }

    /** Removes the requests that were sent before [sentBefore] and returns the limiters that did not answer them. */
    fun dropOverdue(sentBefore: Duration): List<VmName> {
        val overdue = requests.filter { it.sentAt <= sentBefore }
        requests.removeAll(overdue)
        return overdue.map { it.limiter }
    }

    /** Removes the requests to [limiter], whose link was lost. */
    fun dropRequests(limiter: VmName) = requests.removeAll { it.limiter == limiter }

    /** Removes the batches whose tokens are valid until [validUntil] at most, and returns those. */
    fun dropBatches(validUntil: Duration): List<Batch> {
        val old = batches.filter { it.validUntil <= validUntil }
        batches.removeAll(old)
        return old
    }

    /**
     * Returns the time after which the caller of a refused operation is told to return. Callers that are refused one
     * after the other are told times that follow each other at the rate at which operations are admitted here.
     */
    fun retryAfter(now: Duration, available: Duration, leastRate: Double): Duration {
        val rate = maxOf(admitted.perSecond(now), leastRate)
        val step = if (rate > 0) (1 / rate).seconds else LONGEST_RETRY
        val at = maxOf(now + available, nextRetry).coerceAtMost(now + LONGEST_RETRY)
        nextRetry = at + step
        return at - now
    }

    /** Returns the time until one of the [limiters] may have a token; null without limiters. */
    fun timeUntilToken(now: Duration, limiters: List<VmName>): Duration? =
        limiters.minOfOrNull { (nextToken[it] ?: now) - now }?.coerceAtLeast(Duration.ZERO)

    /** Returns the time of the next step: a request is overdue, an operation has waited, or tokens are returned. */
    fun nextStep(requestTimeout: Duration, returnBefore: Duration): Duration = minOf(
        requests.minOfOrNull { it.sentAt + requestTimeout } ?: Duration.INFINITE,
        waiting.minOfOrNull { it.until } ?: Duration.INFINITE,
        batches.minOfOrNull { it.validUntil - returnBefore } ?: Duration.INFINITE,
    )

    private fun isOpen(now: Duration, limiter: VmName) =
        requests.none { it.limiter == limiter } && (emptyUntil[limiter] ?: now) <= now

    internal class Batch(val limiter: VmName, val report: Long, var tokens: Int, val validUntil: Duration)

    private class Request(val limiter: VmName, val report: Long, val tokens: Int, val sentAt: Duration)

    private companion object {
        /** Limits the requests of a customer that is over its limit; buckets gain far less than they hold meanwhile. */
        val SHORTEST_PAUSE = LimitTimes.PAUSE

        /** A limiter that has too small a share may get a larger one. */
        val LONGEST_PAUSE = LimitTimes.REPORT_INTERVAL
        val LONGEST_RETRY = 5.seconds
    }
}

/**
 * An operation that waits for a token [until] a time; [decide] gets null, or the time after which its caller may come
 * back.
 */
internal class WaitingOperation(val until: Duration, val decide: (Duration?) -> Unit)
