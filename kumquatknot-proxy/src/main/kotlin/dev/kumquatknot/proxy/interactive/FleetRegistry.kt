package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.platform.ConditionalStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.WatchableObjects
import dev.kumquatknot.proxy.event.EventLog
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Registers this VM in the platform's store and counts the registered VMs, so that each knows among how many the
 * members' connections are shared. A VM that was lost stays registered until another one takes its name, so the count
 * may be too high.
 *
 * Its store calls block the [executor], which must have one thread.
 *
 * @param kind kind of the registered objects.
 * @param vm name of this VM, which it keeps when it starts again.
 * @param onCount called on the executor's thread with the number of VMs after each count.
 */
public class FleetRegistry(
    private val kind: String,
    private val vm: String,
    private val store: ConditionalStore,
    private val objects: WatchableObjects,
    private val executor: ScheduledExecutorService,
    private val events: EventLog,
    private val onCount: (Int) -> Unit,
) {
    private var registeredIn: StoreEra? = null

    /** Starts to register and to count periodically. */
    public fun start() {
        executor.execute { events.runStep(STEP, ::update) }
        // All VMs of a fleet may start together; the first count after that includes them.
        schedule(FIRST_COUNT_DELAY)
    }

    private fun schedule(delay: Duration) {
        executor.schedule({
            events.runStep(STEP, ::update)
            schedule(COUNT_INTERVAL)
        }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun update() {
        if (registeredIn != store.era) register()
        objects.snapshot(kind).onRight { onCount(it.objects.size) }
    }

    private fun register() {
        val failure = store.write("$kind/$vm", "", ObjectVersion.ABSENT).leftOrNull()
        // A conflict means that this VM's name is registered already.
        if (failure == null || failure is StoreFailure.Conflict) registeredIn = store.era
    }

    private companion object {
        const val STEP = "count VMs"
        val FIRST_COUNT_DELAY = 3_000.milliseconds
        val COUNT_INTERVAL = 30.seconds
    }
}
