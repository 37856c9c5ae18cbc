package dev.kumquatknot.operations.today

import dev.kumquatknot.core.member.MemberRole
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.core.request.CallerRequest
import dev.kumquatknot.operations.today.LatencyFigures.Companion.record
import java.security.MessageDigest
import java.util.EnumMap
import java.util.HexFormat
import kotlin.time.Duration

/** Running counts of one kind of work on one day. The owner's lock guards them. */
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
    private val latencies = LatencyFigures.emptyHistogram()

    fun complete(latency: Duration, targetMillis: Long) {
        completed++
        if (latency.inWholeMilliseconds <= targetMillis) withinTarget++
        latencies.record(latency)
    }

    fun countRead(role: MemberRole?) {
        when (role) {
            MemberRole.PRIMARY -> primaryReads++
            MemberRole.REPLICA -> replicaReads++
            null -> Unit
        }
    }

    fun refuse(reason: FailureReason) {
        notRun++
        refusals.merge(reason, 1, Long::plus)
    }

    fun leaveOpen(keyHash: String?, reason: FailureReason) {
        refusals.merge(reason, 1, Long::plus)
        when {
            keyHash == null -> unknownWithoutKey++
            keyHash in unknownKeys -> settledKeys -= keyHash
            unknownKeys.size < MAXIMUM_KEYS -> unknownKeys += keyHash
            else -> unknownWithoutKey++
        }
    }

    /** Notes a known outcome. One that was not [told] from a record is kept only where it was open here. */
    fun settle(keyHash: String, told: Boolean) {
        val useful = told || keyHash in unknownKeys
        if (useful && settledKeys.size < MAXIMUM_KEYS) settledKeys += keyHash
    }

    fun figures(): KindFigures =
        KindFigures(
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
            LatencyFigures.of(latencies),
        )

    private companion object {
        const val MAXIMUM_KEYS = 500 // 11 KB a kind in the summary
    }
}

/** Returns a short hash of the request's idempotency key, unique with its team and database; null without a key. */
internal fun CallerRequest.keyHash(): String? {
    val text = key?.let { "$team\u0000$database\u0000${it.value}" } ?: return null
    val digest = MessageDigest.getInstance("SHA-256").digest(text.toByteArray())
    return HexFormat.of().formatHex(digest, 0, KEY_HASH_BYTES)
}

private const val KEY_HASH_BYTES = 8
