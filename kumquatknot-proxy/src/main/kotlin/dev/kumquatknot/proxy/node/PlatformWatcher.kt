package dev.kumquatknot.proxy.node

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.proxy.distribution.ConfigurationUpdater
import dev.kumquatknot.proxy.event.EventLog
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Watches the platform on two threads: one waits for new configurations, the other polls the list of VMs. The interval
 * of the polls grows with the fleet, so that the reads of all nodes together stay within the platform's rate limit.
 */
internal class PlatformWatcher(
    private val vm: VmName,
    private val store: ObjectStore,
    val configuration: ConfigurationUpdater,
    private val events: EventLog,
    private val fleetSize: () -> Int,
    private val onList: (List<ListedVm>) -> Unit,
) {
    @Volatile
    private var running = false
    private var threads: List<Thread> = emptyList()

    /** Reads the configuration and the list of VMs once, in the calling thread. */
    fun readOnce() {
        configuration.readFromStore()
        store.vms().onRight(onList)
    }

    /** Starts the threads of both loops. */
    fun start() {
        running = true
        threads = listOf(
            thread(name = "$vm-configuration", isDaemon = true) { runLoop(::watchConfiguration) },
            thread(name = "$vm-list", isDaemon = true) { runLoop(::readList) },
        )
    }

    /** Interrupts the threads of both loops; does not wait for their end. */
    fun stop() {
        running = false
        threads.forEach { it.interrupt() }
    }

    private fun runLoop(step: () -> Duration) {
        try {
            while (running) {
                var pause = MINIMUM_LIST_INTERVAL
                events.runStep("watch the platform") { pause = step() }
                if (pause > Duration.ZERO) Thread.sleep(pause.inWholeMilliseconds)
            }
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }

    private fun watchConfiguration(): Duration =
        if (configuration.watchStore()) WATCH_INTERVAL else configuration.retryDelay

    private fun readList(): Duration {
        store.vms().onRight(onList)
        return listInterval(fleetSize())
    }

    companion object {
        private val WATCH_INTERVAL = 10.milliseconds
        private val MINIMUM_LIST_INTERVAL = 1.seconds
        private val MAXIMUM_LIST_INTERVAL = 2500.milliseconds
        private const val LIST_READS_PER_SECOND = 250

        /** Returns the time between two polls of the list by one node in a fleet of [nodes] nodes. */
        fun listInterval(nodes: Int): Duration =
            (nodes.seconds / LIST_READS_PER_SECOND).coerceIn(MINIMUM_LIST_INTERVAL, MAXIMUM_LIST_INTERVAL)
    }
}
