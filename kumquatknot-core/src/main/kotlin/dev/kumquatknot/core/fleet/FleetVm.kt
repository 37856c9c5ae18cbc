package dev.kumquatknot.core.fleet

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * A registered VM. Earlier builds register their name alone; such a VM counts, and no operation is forwarded to it.
 *
 * @property run random number of the process, which distinguishes two runs under one name.
 * @property address host and port for other VMs; null if they can't connect to this VM.
 * @property cores processor time that the VM has, in cores.
 * @property leaving whether the VM is about to stop and takes no new operations.
 */
public data class FleetVm(
    val name: VmName,
    val run: Long = 0,
    val address: String? = null,
    val dataCentre: DataCentre? = null,
    val cores: Double = 0.0,
    val leaving: Boolean = false,
) {
    /** Whether other VMs can forward operations to the VM. */
    public val isReachable: Boolean get() = address != null && dataCentre != null && cores > 0 && cores.isFinite()
}

/** Codec of the value under which a VM is registered in the store. */
public object FleetVmCodec {
    private val json = Json {
        ignoreUnknownKeys = true
        coerceInputValues = true
        isLenient = true
    }

    /** Returns the value to store for [vm]. */
    public fun encode(vm: FleetVm): String = json.encodeToString(
        Registration.serializer(),
        Registration(vm.address, vm.dataCentre?.value, vm.cores, vm.run, vm.leaving),
    )

    /** Returns the VM registered as [name] with [value]; an empty or unreadable value tells the name alone. */
    public fun decode(name: VmName, value: String): FleetVm {
        val registration = try {
            json.decodeFromString(Registration.serializer(), value)
        } catch (_: SerializationException) {
            return FleetVm(name)
        } catch (_: IllegalArgumentException) {
            return FleetVm(name)
        }
        return FleetVm(
            name = name,
            run = registration.run,
            address = registration.address?.takeIf { it.substringAfterLast(':').toIntOrNull() != null },
            dataCentre = registration.dataCentre?.takeIf { it.isNotEmpty() }?.let(::DataCentre),
            cores = registration.cores,
            leaving = registration.leaving,
        )
    }

    @Serializable
    private data class Registration(
        val address: String? = null,
        val dataCentre: String? = null,
        val cores: Double = 0.0,
        val run: Long = 0,
        val leaving: Boolean = false,
    )
}
