package dev.kumquatknot.standin.platform

import kotlinx.serialization.Serializable

/**
 * Calls that the stand-in platform has counted since its start; a waiting watch counts as one.
 *
 * @property refused calls refused for their rate or size, or by a fault; they also count by their type.
 * @property bytesIn bytes of values written.
 * @property bytesOut bytes of values read.
 */
@Serializable
public data class PlatformCalls(
    val reads: Long = 0,
    val lists: Long = 0,
    val writes: Long = 0,
    val watches: Long = 0,
    val vmLists: Long = 0,
    val refused: Long = 0,
    val bytesIn: Long = 0,
    val bytesOut: Long = 0,
)
