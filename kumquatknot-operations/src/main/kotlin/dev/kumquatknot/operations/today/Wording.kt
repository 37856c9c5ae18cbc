package dev.kumquatknot.operations.today

import java.time.Instant
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter
import java.util.Locale
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Text forms of figures, the same on every page. */
internal object Wording {
    private const val HUNDREDTHS = 10_000
    private const val PERCENT = 100
    private val preciseBelow = 10.seconds
    private val clockTime = DateTimeFormatter.ofPattern("HH:mm", Locale.ROOT).withZone(ZoneOffset.UTC)

    /** Writes a count with separators, such as `1,204`. */
    fun count(number: Long): String = String.format(Locale.ROOT, "%,d", number)

    /** Writes [number] with the word for one or for several. */
    fun count(number: Long, one: String, several: String = one + "s"): String =
        "${count(number)} ${if (number == 1L) one else several}"

    /** Writes a share in per cent, never rounded up, so that 100 % means all. */
    fun share(share: Double): String {
        val rounded = floor(share * HUNDREDTHS) / PERCENT
        val text = String.format(Locale.ROOT, "%.2f", rounded).trimEnd('0').trimEnd('.')
        return "$text %"
    }

    /** Writes a duration in the unit that suits it. */
    fun duration(duration: Duration): String =
        when {
            duration < 1.seconds -> "${duration.inWholeMilliseconds} ms"
            duration < preciseBelow -> String.format(
                Locale.ROOT,
                "%.1f",
                duration.toDouble(DurationUnit.SECONDS),
            ).removeSuffix(".0") +
                " s"
            else -> "${duration.inWholeSeconds} s"
        }

    /** Writes the time of day in UTC. */
    fun time(instant: Instant): String = clockTime.format(instant)

    /** Joins words as a sentence does. */
    fun list(words: List<String>): String =
        if (words.size < 2) words.joinToString() else words.dropLast(1).joinToString() + " and " + words.last()
}
