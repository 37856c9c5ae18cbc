package dev.kumquatknot.standin.platform

import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.operations.document.Problem
import dev.kumquatknot.standin.settings.SettingsChecks
import dev.kumquatknot.standin.settings.portRange
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
    /** Returns what is wrong with these settings, which came from [file]; empty when they are usable. */
    public fun problems(file: String): List<Problem> {
        val reporter = SettingsChecks(file)
        reporter.check("$.port", port, port in portRange, "give a port of $portRange")
        reporter.check("$.readsPerSecond", readsPerSecond, readsPerSecond > 0, "give at least 1")
        reporter.check("$.writesPerSecond", writesPerSecond, writesPerSecond > 0, "give at least 1")
        reporter.check("$.maximumValueBytes", maximumValueBytes, maximumValueBytes > 0, "give at least 1")
        reporter.check("$.vmListLagMillis", vmListLagMillis, vmListLagMillis >= 0, "give 0 or more")
        reporter.check("$.silenceMillis", silenceMillis, silenceMillis >= 0, "give 0 or more")
        return reporter.problems
    }
}
