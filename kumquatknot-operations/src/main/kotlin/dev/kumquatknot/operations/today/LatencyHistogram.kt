package dev.kumquatknot.operations.today

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram
import java.nio.ByteBuffer
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.microseconds

/**
 * Latency histogram that can be merged without loss. It covers 1 µs to 1 h with a relative error of at most 1 %.
 *
 * @property encoded the histogram, compressed by HdrHistogram and encoded in Base64; empty without latencies.
 */
@JvmInline
@Serializable
public value class LatencyHistogram(public val encoded: String) {
    /** Returns the histogram of the latencies of both. */
    public operator fun plus(other: LatencyHistogram): LatencyHistogram =
        when {
            encoded.isEmpty() -> other
            other.encoded.isEmpty() -> this
            else -> of(decode().apply { add(other.decode()) })
        }

    /** Returns the quantile at [share] (from 0 to 1); null without latencies. */
    public fun quantile(share: Double): Duration? {
        if (encoded.isEmpty()) return null
        val histogram = decode()
        return if (histogram.totalCount == 0L) null else histogram.getValueAtPercentile(share * PERCENT).microseconds
    }

    private fun decode(): Histogram =
        Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(Base64.getDecoder().decode(encoded)), 0)

    public companion object {
        /** Histogram without latencies. */
        public val NONE: LatencyHistogram = LatencyHistogram("")

        private const val PERCENT = 100.0
        private const val SIGNIFICANT_DIGITS = 2
        private val maximumLatency = 1.hours

        /** Returns the histogram of [latencies]; those above 1 h are counted as 1 h. */
        public fun of(latencies: Iterable<Duration>): LatencyHistogram =
            of(emptyHistogram().apply { latencies.forEach { record(it) } })

        internal fun emptyHistogram(): Histogram = Histogram(1, maximumLatency.inWholeMicroseconds, SIGNIFICANT_DIGITS)

        internal fun Histogram.record(latency: Duration) {
            recordValue(latency.coerceIn(Duration.ZERO, maximumLatency).inWholeMicroseconds)
        }

        internal fun of(histogram: Histogram): LatencyHistogram {
            if (histogram.totalCount == 0L) return NONE
            val buffer = ByteBuffer.allocate(histogram.neededByteBufferCapacity)
            val length = histogram.encodeIntoCompressedByteBuffer(buffer)
            return LatencyHistogram(Base64.getEncoder().encodeToString(buffer.array().copyOf(length)))
        }
    }
}
