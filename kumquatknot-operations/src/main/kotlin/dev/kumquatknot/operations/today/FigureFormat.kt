package dev.kumquatknot.operations.today

import java.time.Instant
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter
import java.util.Locale
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Formats figures for the HTML page and the terminal page. */
internal object FigureFormat {
    private const val HUNDREDTHS = 10_000
    private const val PERCENT = 100
    private val oneDecimalBelow = 10.seconds
    private val clockTime = DateTimeFormatter.ofPattern("HH:mm", Locale.ROOT).withZone(ZoneOffset.UTC)

    /** Formats a count with separators, such as `1,204`. */
    fun count(number: Long): String = String.format(Locale.ROOT, "%,d", number)

    /** Formats [number] followed by the singular [one] or the plural [several]. */
    fun count(number: Long, one: String, several: String = one + "s"): String =
        "${count(number)} ${if (number == 1L) one else several}"

    /** Formats a share in per cent. It is rounded down, so that 100 % means all. */
    fun share(share: Double): String {
        val rounded = floor(share * HUNDREDTHS) / PERCENT
        val text = String.format(Locale.ROOT, "%.2f", rounded).trimEnd('0').trimEnd('.')
        return "$text %"
    }

    /** Formats a duration in ms below 1 s, in s with one decimal below 10 s, and in whole s from 10 s. */
    fun duration(duration: Duration): String =
        when {
            duration < 1.seconds -> "${duration.inWholeMilliseconds} ms"
            duration < oneDecimalBelow -> String.format(
                Locale.ROOT,
                "%.1f",
                duration.toDouble(DurationUnit.SECONDS),
            ).removeSuffix(".0") +
                " s"
            else -> "${duration.inWholeSeconds} s"
        }

    /** Formats the time of day in UTC, such as `18:30`. */
    fun time(instant: Instant): String = clockTime.format(instant)

    /** Joins words with commas and a final "and". */
    fun list(words: List<String>): String =
        if (words.size < 2) words.joinToString() else words.dropLast(1).joinToString() + " and " + words.last()
}
