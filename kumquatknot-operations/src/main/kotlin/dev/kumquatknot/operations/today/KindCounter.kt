package dev.kumquatknot.operations.today

import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.request.CallerRequest
import dev.kumquatknot.operations.today.LatencyHistogram.Companion.record
import java.security.MessageDigest
import java.util.EnumMap
import java.util.HexFormat
import kotlin.time.Duration

/** Mutable counts of one kind of work on one day. Not thread-safe: the lock of the [DayRecorder] guards them. */
internal class KindCounter {
    var checks = CheckFigures()
    var repeated = 0L
    var callerFaults = 0L
    private var completed = 0L
    private var withinTarget = 0L
    private var notRun = 0L
    private var primaryReads = 0L
    private var replicaReads = 0L
    private var unknownWithoutKey = 0L
    private val refusals = EnumMap<FailureReason, Long>(FailureReason::class.java)
    private val unknownKeys = sortedSetOf<String>()
    private val settledKeys = sortedSetOf<String>()
    private val latencies = LatencyHistogram.emptyHistogram()

    fun recordCompletion(latency: Duration, targetMillis: Long) {
        completed++
        if (latency.inWholeMilliseconds <= targetMillis) withinTarget++
        latencies.record(latency)
    }

    fun recordRead(role: MemberRole?) {
        when (role) {
            MemberRole.PRIMARY -> primaryReads++
            MemberRole.REPLICA -> replicaReads++
            null -> Unit
        }
    }

    fun recordRefusal(reason: FailureReason) {
        notRun++
        refusals.merge(reason, 1, Long::plus)
    }

    fun recordUnknownOutcome(keyHash: String?, reason: FailureReason) {
        refusals.merge(reason, 1, Long::plus)
        when {
            keyHash == null -> unknownWithoutKey++
            keyHash in unknownKeys -> settledKeys -= keyHash
            unknownKeys.size < MAXIMUM_KEYS -> unknownKeys += keyHash
            else -> unknownWithoutKey++
        }
    }

    /** Records a known outcome. An outcome that is not [fromRecord] is kept only if its key ended as unknown here. */
    fun recordKnownOutcome(keyHash: String, fromRecord: Boolean) {
        val isRelevant = fromRecord || keyHash in unknownKeys
        if (isRelevant && settledKeys.size < MAXIMUM_KEYS) settledKeys += keyHash
    }

    fun figures(): KindStatistics =
        KindStatistics(
            completed,
            withinTarget,
            notRun,
            callerFaults,
            refusals.toMap(),
            primaryReads,
            replicaReads,
            repeated,
            unknownKeys.toSet(),
            settledKeys.toSet(),
            unknownWithoutKey,
            checks,
            LatencyHistogram.of(latencies),
        )

    private companion object {
        const val MAXIMUM_KEYS = 500 // adds 11 KB for each kind to the summary
    }
}

/** Returns a short hash of team, database and idempotency key of the request; null without a key. */
internal fun CallerRequest.idempotencyKeyHash(): String? {
    val text = key?.let { "$team\u0000$database\u0000${it.value}" } ?: return null
    val digest = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
    return HexFormat.of().formatHex(digest, 0, KEY_HASH_BYTES)
}

private const val KEY_HASH_BYTES = 8
