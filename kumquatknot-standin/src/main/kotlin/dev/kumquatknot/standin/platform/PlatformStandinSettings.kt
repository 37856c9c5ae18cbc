package dev.kumquatknot.standin.platform

import dev.kumquatknot.core.platform.ListedVm
import kotlinx.serialization.Serializable

/**
 * Settings of the stand-in platform.
 *
 * @property address address to listen on.
 * @property port port to listen on; 0 takes a free one.
 * @property readsPerSecond reads, lists and watches that the store takes in a second; more are refused.
 * @property writesPerSecond writes that the store takes in a second; more are refused.
 * @property maximumValueBytes size of the largest value.
 * @property vmListLagMillis time after which a change of the VM list shows.
 * @property silenceMillis time for which a call without answer is held before its connection gets a 504.
 * @property vms the VM list at the start.
 */
@Serializable
public data class PlatformStandinSettings(
    val address: String = "127.0.0.1",
    val port: Int = 0,
    val readsPerSecond: Int = 2_000,
    val writesPerSecond: Int = 400,
    val maximumValueBytes: Int = 1_048_576,
    val vmListLagMillis: Long = 2_000,
    val silenceMillis: Long = 5_000,
    val vms: List<ListedVm> = emptyList(),
) {
    /** Returns what is wrong with these settings, one sentence each; empty when they are usable. */
    public fun problems(): List<String> = buildList {
        if (port !in 0..MAXIMUM_PORT) add("port: must be from 0 to $MAXIMUM_PORT.")
        if (readsPerSecond < 1) add("readsPerSecond: must be at least 1.")
        if (writesPerSecond < 1) add("writesPerSecond: must be at least 1.")
        if (maximumValueBytes < 1) add("maximumValueBytes: must be at least 1.")
        if (vmListLagMillis < 0) add("vmListLagMillis: must not be negative.")
        if (silenceMillis < 0) add("silenceMillis: must not be negative.")
    }

    private companion object {
        const val MAXIMUM_PORT = 65_535
    }
}
