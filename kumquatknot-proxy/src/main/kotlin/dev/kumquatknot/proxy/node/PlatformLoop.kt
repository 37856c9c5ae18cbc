package dev.kumquatknot.proxy.node

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.proxy.distribution.ConfigurationRunner
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Watches the platform on two threads: one waits for configurations, the other reads the list of VMs. The list is read
 * less often in a large fleet, so that the reads of all nodes together stay within the platform's rate.
 */
internal class PlatformLoop(
    private val vm: VmName,
    private val store: ObjectStore,
    val configuration: ConfigurationRunner,
    private val fleetSize: () -> Int,
    private val onList: (List<ListedVm>) -> Unit,
) {
    @Volatile
    private var running = false
    private var loops: List<Thread> = emptyList()

    /** Reads configuration and list once. */
    fun readOnce() {
        configuration.readFromStore()
        store.vms().onRight(onList)
    }

    /** Starts both threads. */
    fun start() {
        running = true
        loops = listOf(
            thread(name = "$vm-configuration", isDaemon = true) { loop(::watchConfiguration) },
            thread(name = "$vm-list", isDaemon = true) { loop(::readList) },
        )
    }

    /** Ends both threads. */
    fun stop() {
        running = false
        loops.forEach { it.interrupt() }
    }

    private fun loop(step: () -> Duration) {
        try {
            while (running) {
                val pause = step()
                if (pause > Duration.ZERO) Thread.sleep(pause.inWholeMilliseconds)
            }
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }

    private fun watchConfiguration(): Duration =
        if (configuration.watchStore()) WATCH_PAUSE else ConfigurationRunner.RETRY_PAUSE

    private fun readList(): Duration {
        store.vms().onRight(onList)
        return listInterval(fleetSize())
    }

    companion object {
        private val WATCH_PAUSE = 10.milliseconds
        private val SHORTEST_LIST_INTERVAL = 1.seconds
        private val LONGEST_LIST_INTERVAL = 2500.milliseconds
        private const val LIST_READS_PER_SECOND = 250

        /** Returns the time between two reads of the list by one of [nodes] nodes. */
        fun listInterval(nodes: Int): Duration =
            (nodes.seconds / LIST_READS_PER_SECOND).coerceIn(SHORTEST_LIST_INTERVAL, LONGEST_LIST_INTERVAL)
    }
}
