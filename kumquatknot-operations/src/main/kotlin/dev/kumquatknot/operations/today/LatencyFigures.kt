package dev.kumquatknot.operations.today

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import java.nio.ByteBuffer
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.microseconds

/**
 * Latencies as a histogram that merges without loss: relative error at most 1 %, from 1 µs to 1 h.
 *
 * @property encoded the histogram, compressed by HdrHistogram and written in Base64; empty where there is none.
 */
@JvmInline
@Serializable
public value class LatencyFigures(public val encoded: String) {
    /** Returns the latencies of both. */
    public operator fun plus(other: LatencyFigures): LatencyFigures =
        when {
            encoded.isEmpty() -> other
            other.encoded.isEmpty() -> this
            else -> of(decode().apply { add(other.decode()) })
        }

    /** Returns the latency within which [share] (from 0 to 1) of the answers came; null without answers. */
    public fun quantile(share: Double): Duration? {
        if (encoded.isEmpty()) return null
        val histogram = decode()
        return if (histogram.totalCount == 0L) null else histogram.getValueAtPercentile(share * PERCENT).microseconds
    }

    private fun decode(): Histogram =
        Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(Base64.getDecoder().decode(encoded)), 0)

    public companion object {
        /** No latencies. */
        public val NONE: LatencyFigures = LatencyFigures("")

        private const val PERCENT = 100.0
        private const val SIGNIFICANT_DIGITS = 2
        private val longest = 1.hours

        /** Returns the figures of [latencies]. */
        public fun of(latencies: Iterable<Duration>): LatencyFigures =
            of(emptyHistogram().apply { latencies.forEach { record(it) } })

        internal fun emptyHistogram(): Histogram = Histogram(1, longest.inWholeMicroseconds, SIGNIFICANT_DIGITS)

        internal fun Histogram.record(latency: Duration) {
            recordValue(latency.coerceIn(Duration.ZERO, longest).inWholeMicroseconds)
        }

        internal fun of(histogram: Histogram): LatencyFigures {
            if (histogram.totalCount == 0L) return NONE
            val buffer = ByteBuffer.allocate(histogram.neededByteBufferCapacity)
            val length = histogram.encodeIntoCompressedByteBuffer(buffer)
            return LatencyFigures(Base64.getEncoder().encodeToString(buffer.array().copyOf(length)))
        }
    }
}
