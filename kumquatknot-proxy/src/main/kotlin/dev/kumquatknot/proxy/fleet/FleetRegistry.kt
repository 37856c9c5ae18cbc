package dev.kumquatknot.proxy.fleet

import dev.kumquatknot.core.fleet.FleetVm
import dev.kumquatknot.core.fleet.FleetVmCodec
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ConditionalStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.core.platform.WatchableObjects
import dev.kumquatknot.proxy.event.EventLog
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Registers this VM in the platform's store and lists the registered VMs, so that each knows among how many the
 * members' connections are shared and to which operations can be forwarded. A VM that was lost stays registered until
 * another one takes its name, so the list may be too long. While the store does not answer, the last list stays valid.
 *
 * Its store calls block the [executor], which must have one thread.
 *
 * @param kind kind of the registered objects.
 * @param self this VM, which keeps its name when it starts again.
 * @param onVms called on the executor's thread with the registered VMs after each list.
 */
public class FleetRegistry(
    private val kind: String,
    private val self: FleetVm,
    private val store: ConditionalStore,
    private val objects: WatchableObjects,
    private val executor: ScheduledExecutorService,
    private val events: EventLog,
    private val onVms: (List<FleetVm>) -> Unit,
) {
    private val key = "$kind/${self.name}"
    private val isRefreshRequested = AtomicBoolean()
    private var registered: Registration? = null
    private var isLeaving = false

    /** Whether this VM's name was registered before this process started; false while that is unknown. Thread-safe. */
    @Volatile
    public var isReturning: Boolean = false
        private set

    /** Starts to register, and to list periodically. */
    public fun start() {
        // A VM that starts again needs the number of VMs at once: without it, it keeps connections that others need.
        executor.execute {
            events.runStep(STEP) {
                register(ObjectVersion.ABSENT)
                list()
            }
        }
        // All VMs of a fleet may start together; the first periodic list includes them.
        schedule(FIRST_LIST_DELAY) { listPeriodically(failures = 0) }
    }

    /**
     * Lists the VMs soon, as one that is not in the last list has connected. Many VMs connect to a home VM at the same
     * time, so their requests are combined. Thread-safe.
     */
    public fun refresh() {
        if (!isRefreshRequested.compareAndSet(false, true)) return
        schedule(REFRESH_DELAY) {
            isRefreshRequested.set(false)
            list()
        }
    }

    /**
     * Registers that this VM is about to stop, unless another process has registered under its name; runs on the
     * executor.
     */
    public fun leave() {
        executor.execute {
            events.runStep(STEP) {
                isLeaving = true
                registered?.let { store.write(key, value(), it.version) }
            }
        }
    }

    private fun schedule(delay: Duration, task: () -> Unit) {
        executor.schedule({ events.runStep(STEP, task) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun listPeriodically(failures: Int) {
        var next = failures + 1
        try {
            if (list()) next = 0
        } finally {
            schedule(delayAfter(next)) { listPeriodically(next) }
        }
    }

    private fun delayAfter(failures: Int): Duration =
        if (failures == 0) LIST_INTERVAL else FIRST_RETRY_DELAY * (1 shl minOf(failures - 1, MAXIMUM_DOUBLINGS))

    /** Returns whether the store has answered and this VM is registered. */
    private fun list(): Boolean {
        val listed = objects.snapshot(kind).getOrNull()?.objects ?: return false
        onVms(listed.map { FleetVmCodec.decode(VmName(it.key.substringAfter('/')), it.value) })
        return registerAgain(listed.firstOrNull { it.key == key })
    }

    /**
     * Registers again if the store came back from a copy without this registration, or an earlier process under this
     * name was registered. A registration of this era that is missing in the list may be newer than the list.
     */
    private fun registerAgain(current: StoredObject?): Boolean = when {
        isLeaving -> true
        current != null && current.isOwn() -> {
            registered = Registration(store.era, current.version)
            true
        }
        current == null && registered?.era == store.era -> true
        else -> register(current?.version ?: ObjectVersion.ABSENT)
    }

    private fun register(expected: ObjectVersion): Boolean {
        val failure = store.write(key, value(), expected).fold({ it }, { stored ->
            registered = Registration(store.era, stored.version)
            return true
        })
        val current = (failure as? StoreFailure.Conflict)?.let { it.current ?: store.read(key).getOrNull() }
        return when {
            current == null -> false
            current.isOwn() -> true.also { registered = Registration(store.era, current.version) }
            // The name was registered by an earlier process; one more conflict waits for the next list.
            expected == ObjectVersion.ABSENT -> {
                isReturning = true
                register(current.version)
            }
            else -> false
        }
    }

    private fun value(): String = FleetVmCodec.encode(self.copy(leaving = isLeaving))

    private fun StoredObject.isOwn(): Boolean = FleetVmCodec.decode(self.name, value).run == self.run

    private class Registration(val era: StoreEra, val version: ObjectVersion)

    private companion object {
        const val STEP = "list VMs"
        val FIRST_LIST_DELAY = 3.seconds
        val LIST_INTERVAL = 30.seconds
        val REFRESH_DELAY = 1.seconds

        /** The delay doubles with each failure, as the platform counts failed calls, too. */
        val FIRST_RETRY_DELAY = 1.seconds
        const val MAXIMUM_DOUBLINGS = 3
    }
}
