package dev.kumquatknot.standin.measure

import org.HdrHistogram.Histogram
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How a request of a caller ended. */
internal enum class Ending {
    ANSWERED,

    /** Every attempt was refused before it ran. */
    NOT_RUN,

    /** The caller's deadline passed without an answer. */
    NO_ANSWER,
}

/** Counts of a kind or of all work in one span of time. */
internal class Tally {
    var requests = 0L
        private set
    var onTarget = 0L
        private set
    private val endings = LongArray(Ending.entries.size)
    private val latency = Histogram(HIGHEST_MICROSECONDS, DIGITS)

    fun add(ending: Ending, time: Duration, target: Duration) {
        requests++
        endings[ending.ordinal]++
        if (ending != Ending.ANSWERED) return
        if (time <= target) onTarget++
        latency.recordValue(time.inWholeMicroseconds.coerceIn(1, HIGHEST_MICROSECONDS))
    }

    fun count(ending: Ending): Long = endings[ending.ordinal]

    val onTargetShare: Double get() = if (requests == 0L) 1.0 else onTarget.toDouble() / requests

    fun latencyMillis(percentile: Double): Double =
        if (latency.totalCount == 0L) 0.0 else latency.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND

    private companion object {
        const val HIGHEST_MICROSECONDS = 60_000_000L
        const val DIGITS = 2
        const val MICROSECONDS_PER_MILLISECOND = 1000.0
    }
}

/** Records what became of the requests that arrived in [from] to [until], by kind, rank, database and time. */
internal class Recorder(private val from: Duration, private val until: Duration) {
    private val byKind = LinkedHashMap<LoadKind, Tally>()
    private val byKindAndDatabase = HashMap<Pair<LoadKind, Int>, Tally>()
    private val bins = HashMap<Int, Tally>()
    private val binnedKinds = HashMap<Pair<Int, LoadKind>, Tally>()

    var statementsAnswered = 0L
        private set
    var readsAtReplicas = 0L
        private set
    var reads = 0L
        private set
    var sessionReads = 0L
        private set
    var sessionReadsAtReplicas = 0L
        private set
    var attempts = 0L
        private set
    var staleAnswers = 0L
        private set

    fun recordAttempt() {
        attempts++
    }

    fun recordEnd(kind: LoadKind, database: Int, arrivedAt: Duration, time: Duration, ending: Ending) {
        val bin = (arrivedAt / BIN).toInt()
        bins.getOrPut(bin, ::Tally).add(ending, time, kind.target)
        binnedKinds.getOrPut(bin to kind, ::Tally).add(ending, time, kind.target)
        if (arrivedAt !in from..<until) return
        byKind.getOrPut(kind, ::Tally).add(ending, time, kind.target)
        byKindAndDatabase.getOrPut(kind to database, ::Tally).add(ending, time, kind.target)
    }

    fun recordAnswer(answeredAt: Duration) {
        if (answeredAt in from..<until) statementsAnswered++
    }

    fun recordRead(kind: LoadKind, atReplica: Boolean, fresh: Boolean) {
        if (!fresh) staleAnswers++
        if (kind.maximumAge == null) {
            sessionReads++
            if (atReplica) sessionReadsAtReplicas++
        } else {
            reads++
            if (atReplica) readsAtReplicas++
        }
    }

    fun tally(kind: LoadKind): Tally = byKind[kind] ?: Tally()

    fun tally(kind: LoadKind, database: Int): Tally = byKindAndDatabase[kind to database] ?: Tally()

    /** Answered requests per second of virtual time. */
    val goodput: Double get() = statementsAnswered / ((until - from) / ONE_SECOND)

    fun onTargetShare(kinds: List<LoadKind>): Double {
        val tallies = kinds.map { tally(it) }
        val requests = tallies.sumOf { it.requests }
        return if (requests == 0L) 1.0 else tallies.sumOf { it.onTarget }.toDouble() / requests
    }

    fun answeredShare(kinds: List<LoadKind>): Double {
        val tallies = kinds.map { tally(it) }
        val requests = tallies.sumOf { it.requests }
        return if (requests == 0L) 1.0 else tallies.sumOf { it.count(Ending.ANSWERED) }.toDouble() / requests
    }

    /**
     * Time from [end] until requests of all [kinds] are answered on target again at no less than [tolerated] times the
     * share before [start], and stay so.
     */
    fun recoveryTime(start: Duration, end: Duration, kinds: List<LoadKind>, tolerated: Double): Duration {
        val before = share(kinds, 0..<(start / BIN).toInt())
        val first = (end / BIN).toInt()
        val last = bins.keys.max()
        val lastBad = (first..<last).lastOrNull { share(kinds, it..it) < before * tolerated } ?: return Duration.ZERO
        return BIN * (lastBad + 1) - end
    }

    private fun share(kinds: List<LoadKind>, range: IntRange): Double {
        val tallies = range.flatMap { bin -> kinds.mapNotNull { binnedKinds[bin to it] } }
        val requests = tallies.sumOf { it.requests }
        return if (requests == 0L) 1.0 else tallies.sumOf { it.onTarget }.toDouble() / requests
    }

    private companion object {
        val BIN = 250.milliseconds
        val ONE_SECOND = 1000.milliseconds
    }
}
