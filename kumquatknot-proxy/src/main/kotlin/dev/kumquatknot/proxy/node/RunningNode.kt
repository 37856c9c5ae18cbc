package dev.kumquatknot.proxy.node

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.operations.today.SummaryPublisher
import kotlin.concurrent.thread

/** A node with its servers and the thread that publishes its statistics for the page of the current day. */
public class RunningNode internal constructor(
    vm: VmName,
    private val server: NodeServer,
    private val publisher: SummaryPublisher,
) {
    private val publishing = thread(start = false, isDaemon = true, name = "$vm-summary") { publishUntilInterrupted() }

    /** Port for callers; available after [start]. */
    public val callerPort: Int get() = server.callerPort

    /** Port for operators; available after [start]. */
    public val operatorPort: Int get() = server.operatorPort

    /** Starts the servers and the publishing thread. */
    public fun start() {
        server.start()
        publishing.start()
    }

    /** Stops the servers gracefully, then publishes the final statistics. */
    public fun stop() {
        server.stop()
        publishing.interrupt()
        publishing.join()
        publisher.publish()
    }

    private fun publishUntilInterrupted() {
        try {
            while (!Thread.currentThread().isInterrupted) Thread.sleep(publisher.publish().inWholeMilliseconds)
        } catch (_: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }
}
