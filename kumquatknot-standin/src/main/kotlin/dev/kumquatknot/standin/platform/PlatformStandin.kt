package dev.kumquatknot.standin.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.core.time.SystemClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A stand-in for the platform in this process: objects with versions, conditional updates and watches, the lagging list
 * of VMs, rates, a count of calls, and fault switches. Each method may be called by any number of threads.
 *
 * Usable directly as the proxy's [ObjectStore], or over HTTP through [PlatformServer].
 *
 * @param clock time of rates and of the VM list's lag.
 * @param pause how a slow store spends its time.
 */
public class PlatformStandin(
    internal val settings: PlatformStandinSettings = PlatformStandinSettings(),
    clock: Clock = SystemClock,
    private val pause: (Duration) -> Unit = { Thread.sleep(it.inWholeMilliseconds) },
) : ObjectStore {
    private val objects = ObjectTable()
    private val listedVms = LaggingVmList(settings.vms, settings.vmListLagMillis.milliseconds, clock)
    private val switches = PlatformSwitches()
    private val readRate = RateLimit(settings.readsPerSecond, clock)
    private val writeRate = RateLimit(settings.writesPerSecond, clock)
    private var counted = PlatformCalls()

    init {
        val problems = settings.problems("settings")
        require(problems.isEmpty()) { problems.joinToString(" ") }
    }

    override fun read(key: String): Either<StoreFailure, StoredObject?> =
        readObject(key).mapLeft { it.toStoreFailure() }

    override fun readAll(prefix: String): Either<StoreFailure, List<StoredObject>> =
        readObjects(prefix).mapLeft { it.toStoreFailure() }

    override fun write(key: String, value: String, expected: ObjectVersion): Either<StoreFailure, StoredObject> =
        writeObject(key, value, expected).mapLeft { it.toStoreFailure() }

    override fun watch(key: String, known: ObjectVersion, timeout: Duration): Either<StoreFailure, StoredObject?> =
        watchObject(key, known, timeout).mapLeft { it.toStoreFailure() }

    override fun vms(): Either<StoreFailure, List<ListedVm>> = listVms().mapLeft { it.toStoreFailure() }

    /** Sets a fault switch. */
    public fun set(fault: PlatformFault): Unit = switches.set(fault)

    /** Adds a VM to the list or changes it; the list shows it after its lag. */
    public fun putVm(vm: ListedVm): Unit = listedVms.put(vm)

    /** Removes a VM from the list; the list shows it after its lag. */
    public fun removeVm(name: VmName): Unit = listedVms.remove(name)

    /** Returns the calls counted so far. */
    @Synchronized
    public fun calls(): PlatformCalls = counted

    internal fun readObject(key: String): Either<PlatformFailure, StoredObject?> =
        arrive(readRate) { it.copy(reads = it.reads + 1) }.map { objects.read(key)?.also(::countOut) }

    internal fun readObjects(prefix: String): Either<PlatformFailure, List<StoredObject>> =
        arrive(readRate) { it.copy(lists = it.lists + 1) }.map { objects.readAll(prefix).onEach(::countOut) }

    internal fun watchObject(
        key: String,
        known: ObjectVersion,
        timeout: Duration,
    ): Either<PlatformFailure, StoredObject?> {
        arrive(readRate) { it.copy(watches = it.watches + 1) }.onLeft { return it.left() }
        val found = objects.await(key, known, timeout)
        return switches.failure()?.left() ?: found?.also(::countOut).right()
    }

    internal fun listVms(): Either<PlatformFailure, List<ListedVm>> =
        arrive(readRate) { it.copy(vmLists = it.vmLists + 1) }.map { listedVms.list() }

    internal fun writeObject(
        key: String,
        value: String,
        expected: ObjectVersion,
    ): Either<PlatformFailure, StoredObject> {
        val size = value.bytes()
        arrive(writeRate) { it.copy(writes = it.writes + 1, bytesIn = it.bytesIn + size) }.onLeft { return it.left() }
        if (size > settings.maximumValueBytes) {
            return refuse(PlatformFailure.TooLarge(settings.maximumValueBytes))
        }
        val outcome = objects.write(key, value, expected).mapLeft { PlatformFailure.Conflict(it) }
        val lost = outcome.isRight() && switches.takeLostAnswer()
        return if (lost) PlatformFailure.NoAnswer.left() else outcome
    }

    private fun arrive(rate: RateLimit, counting: (PlatformCalls) -> PlatformCalls): Either<PlatformFailure, Unit> {
        count(counting)
        if (switches.slowness > Duration.ZERO) pause(switches.slowness)
        val failure = switches.failure() ?: if (rate.take()) null else PlatformFailure.RateExceeded
        return if (failure == null) Unit.right() else refuse(failure)
    }

    private fun refuse(failure: PlatformFailure): Either<PlatformFailure, Nothing> {
        count { it.copy(refused = it.refused + 1) }
        return failure.left()
    }

    private fun countOut(read: StoredObject) = count { it.copy(bytesOut = it.bytesOut + read.value.bytes()) }

    @Synchronized
    private fun count(counting: (PlatformCalls) -> PlatformCalls) {
        counted = counting(counted)
    }
}

private fun String.bytes() = encodeToByteArray().size
