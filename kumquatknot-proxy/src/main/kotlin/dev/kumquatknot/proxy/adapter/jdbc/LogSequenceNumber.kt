package dev.kumquatknot.proxy.adapter.jdbc

import dev.kumquatknot.core.history.LogPosition

/** Text format of PostgreSQL's log sequence numbers: two hexadecimal halves of 32 bits, such as `16/B374D848`. */
internal object LogSequenceNumber {
    /** Parses [text]; returns null if it is not a log sequence number below 2^63. */
    fun parse(text: String): LogPosition? {
        val match = pattern.matchEntire(text) ?: return null
        val (high, low) = match.destructured
        val value = (high.toLong(HEXADECIMAL_RADIX) shl HALF_BITS) or low.toLong(HEXADECIMAL_RADIX)
        return value.takeIf { it >= 0 }?.let(::LogPosition)
    }

    /** Formats [position] as PostgreSQL does. */
    fun format(position: LogPosition): String {
        val low = position.value and LOW_HALF_MASK
        return "%X/%X".format(position.value ushr HALF_BITS, low)
    }

    private val pattern = Regex("([0-9A-Fa-f]{1,8})/([0-9A-Fa-f]{1,8})")
    private const val HEXADECIMAL_RADIX = 16
    private const val HALF_BITS = 32
    private const val LOW_HALF_MASK = 0xFFFF_FFFFL
}
