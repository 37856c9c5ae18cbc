package dev.kumquatknot.operations.document

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.longOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Parsers of the values in answers and settings. */
internal object ValueParsers {
    private val namePattern = Regex("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
    private val hashPattern = Regex("[0-9a-f]{64}")
    private val environmentVariablePattern = Regex("[A-Za-z_][A-Za-z0-9_]*")
    private val durationPattern = Regex("""(\d{1,9}) ?([A-Za-z]*)""")
    private val percentPattern = Regex("""(\d{1,9}) ?%""")
    private val ipv4Pattern = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})""")
    private val ipv6Pattern = Regex("""\[[0-9a-fA-F:.]{2,45}]""")
    private const val MAXIMUM_OCTET = 255
    private const val MAXIMUM_PORT = 65_535
    private const val MAXIMUM_PERCENT = 100

    private val units: Map<String, Duration> = mapOf(
        "ms" to 1.milliseconds,
        "s" to 1.seconds,
        "min" to 1.minutes,
        "h" to 1.hours,
        "d" to 1.days,
    )

    /** A non-blank text. */
    val text: ValueParser<String> = { element ->
        string(element).flatMap { if (it.isBlank()) fault("the text is empty", "write a few words") else it.right() }
    }

    /** A name of lower-case letters, digits and hyphens. */
    val name: ValueParser<String> =
        matching(namePattern, "the name is malformed", "use 1 to 63 lower-case letters, digits and inner hyphens")

    /** A SHA-256 hash in lower-case hexadecimal digits. */
    val sha256: ValueParser<String> =
        matching(
            hashPattern,
            "this is no SHA-256 hash",
            "write the 64 hexadecimal digits that `sha256sum` prints for the key",
        )

    /** A name of an environment variable. */
    val environmentVariable: ValueParser<String> =
        matching(
            environmentVariablePattern,
            "this is no name of an environment variable",
            "use letters, digits and underscores",
        )

    /** A JSON boolean. */
    val boolean: ValueParser<Boolean> = { element ->
        (element as? JsonPrimitive)?.takeUnless { it.isString }?.booleanOrNull?.right()
            ?: fault("the value is neither true nor false", "write true or false, without quotation marks")
    }

    /** A duration above zero with its unit, such as `30 s`. */
    val duration: ValueParser<Duration> = { element -> string(element, DURATION_REMEDY).flatMap(::parseDuration) }

    /** A percentage from 0 % to 100 %, in whole per cent. */
    val percent: ValueParser<Int> = { element -> string(element, PERCENT_REMEDY).flatMap(::parsePercent) }

    /** Address of a peer: an IP address and a port of at least 1. */
    val peerAddress: ValueParser<String> = { element -> string(element).flatMap { parseAddress(it, 1) } }

    /** Address to listen on: an IP address and a port; port 0 lets the system choose one. */
    val listenAddress: ValueParser<String> = { element -> string(element).flatMap { parseAddress(it, 0) } }

    private const val DURATION_REMEDY = "write a whole number and one of ms, s, min, h, d, such as \"30 s\""
    private const val PERCENT_REMEDY = "write a whole number from 0 to 100 and %, such as \"10 %\""

    /** A whole number within [range]. */
    fun integer(range: IntRange): ValueParser<Int> = { element ->
        val number = (element as? JsonPrimitive)?.takeUnless { it.isString }?.longOrNull
        val remedy = "write a whole number from ${range.first} to ${range.last}, without quotation marks"
        when {
            number == null -> fault("the value is not a whole number", remedy)
            number !in range.first.toLong()..range.last.toLong() -> fault("the number is out of range", remedy)
            else -> number.toInt().right()
        }
    }

    /** One of the keys of [choices]; [what] names the kind of value in problems. */
    fun <T : Any> choice(what: String, choices: Map<String, T>): ValueParser<T> = { element ->
        string(element).flatMap { word ->
            val remedy = "use one of ${choices.keys.joinToString { "\"$it\"" }}"
            choices[word]?.right() ?: fault("the $what is unknown", remedy)
        }
    }

    private fun matching(pattern: Regex, fault: String, remedy: String): ValueParser<String> = { element ->
        string(element, remedy).flatMap { if (pattern.matches(it)) it.right() else fault(fault, remedy) }
    }

    private fun string(
        element: JsonElement,
        remedy: String = "write a text in quotation marks",
    ): Either<ValueFault, String> {
        val primitive = (element as? JsonPrimitive)?.takeIf { it.isString }
        return primitive?.content?.right() ?: fault("the value is not a text", remedy)
    }

    private fun parseDuration(text: String): Either<ValueFault, Duration> {
        val match = durationPattern.matchEntire(text)
            ?: return fault("this is no duration", DURATION_REMEDY)
        val (amount, unitName) = match.destructured
        if (unitName.isEmpty()) return fault("the duration has no unit", DURATION_REMEDY)
        val unit = units[unitName] ?: return fault("the unit \"$unitName\" is unknown", DURATION_REMEDY)
        val duration = unit * amount.toInt()
        return if (duration > Duration.ZERO) duration.right() else fault("the duration is zero", DURATION_REMEDY)
    }

    private fun parsePercent(text: String): Either<ValueFault, Int> {
        val match = percentPattern.matchEntire(text) ?: return fault("this is no share in per cent", PERCENT_REMEDY)
        val share = match.groupValues[1].toInt()
        return if (share <= MAXIMUM_PERCENT) share.right() else fault("the share is above 100 %", PERCENT_REMEDY)
    }

    private fun parseAddress(text: String, lowestPort: Int): Either<ValueFault, String> {
        val remedy = "write an IP number and a port from $lowestPort to $MAXIMUM_PORT, such as \"10.0.0.7:5432\""
        val host = text.substringBeforeLast(':', "")
        val port = text.substringAfterLast(':').toIntOrNull()
        return when {
            !isIpNumber(host) -> fault("the address names no IP number", remedy)
            port == null || port !in lowestPort..MAXIMUM_PORT -> fault("the port is malformed or out of range", remedy)
            else -> text.right()
        }
    }

    private fun isIpNumber(host: String): Boolean {
        val octets = ipv4Pattern.matchEntire(host)?.groupValues?.drop(1)
        return octets?.all { it.toInt() <= MAXIMUM_OCTET } ?: ipv6Pattern.matches(host)
    }

    private fun fault(fault: String, remedy: String): Either<ValueFault, Nothing> = ValueFault(fault, remedy).left()
}
