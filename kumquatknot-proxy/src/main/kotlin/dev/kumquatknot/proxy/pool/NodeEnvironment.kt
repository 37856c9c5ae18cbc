package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.metric.InteractiveMetrics
import kotlin.time.Duration

/**
 * Shared dependencies of the parts of a VM. All run on one event loop, so their state needs no lock.
 *
 * @property schedule runs a task on that loop.
 * @property openLink opens connections to members.
 */
internal class NodeEnvironment(
    val clock: Clock,
    val schedule: Schedule,
    val openLink: OpenMemberLink,
    val events: EventLog,
    val limits: InteractiveLimits,
    val metrics: InteractiveMetrics = InteractiveMetrics(),
) {
    fun now(): Duration = clock.elapsed()
}
