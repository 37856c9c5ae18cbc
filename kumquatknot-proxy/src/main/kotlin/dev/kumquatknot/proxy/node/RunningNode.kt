package dev.kumquatknot.proxy.node

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.operations.today.SummaryPublisher
import kotlin.concurrent.thread

/** A node with its servers and the thread that publishes its figures for today's page. */
public class RunningNode internal constructor(
    vm: VmName,
    private val server: NodeServer,
    private val publisher: SummaryPublisher,
) {
    private val publishing = thread(start = false, isDaemon = true, name = "$vm-summary") { publishUntilInterrupted() }

    /** Port towards callers, once started. */
    public val callerPort: Int get() = server.callerPort

    /** Port towards operators, once started. */
    public val operatorPort: Int get() = server.operatorPort

    /** Starts to serve. */
    public fun start() {
        server.start()
        publishing.start()
    }

    /** Stops gracefully and publishes the last figures. */
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
