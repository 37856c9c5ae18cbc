package dev.kumquatknot.core.fleet

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.VmName
import kotlin.time.Duration

/**
 * What matters for the place of an operation on [group].
 *
 * @property mayUseReplica whether a replica may serve it; it is a read, and not of current data.
 * @property primaryDataCentre data centre of the believed primary; null if it is unknown.
 */
public data class PlacedOperation(
    val group: DatabaseName,
    val mayUseReplica: Boolean,
    val primaryDataCentre: DataCentre?,
)

/** Why an operation runs where it does; [text] is for operators. */
public enum class PlacementReason(public val text: String) {
    NO_CUSTOMERS("operations are forwarded only where customers are configured"),
    NO_PEER_ADDRESS("other VMs cannot reach this VM, so it forwards nothing"),
    VMS_UNKNOWN("the list of VMs has not been read yet"),
    OWN_HOME("this VM is the home VM"),
    NO_HOME("no home VM is usable"),
    HOME_OF_CALLER("a replica may serve it, so the home VM of the caller's region runs it"),
    HOME_OF_PRIMARY("it needs the primary, so the home VM of the primary's region runs it"),
    PRIMARY_UNKNOWN("it needs the primary, which is unknown, so the home VM of the caller's region runs it"),
}

/** Where an operation runs, and why. */
public sealed interface Placement {
    public val reason: PlacementReason

    /** This VM runs it. */
    public data class Here(override val reason: PlacementReason) : Placement

    /** The first of [candidates] that is reachable runs it; this VM does if none is. */
    public data class Forwarded(val candidates: List<FleetVm>, override val reason: PlacementReason) : Placement {
        /** Names of the candidates, in order. */
        val names: List<VmName> get() = candidates.map { it.name }
    }
}

/**
 * Decides where operations run: on the home VM of their group, so that the members' connections, knowledge and slots
 * are shared by the callers of a region instead of divided among all VMs.
 *
 * @param dataCentre data centre of this VM.
 */
public class OperationPlacement(private val homes: HomeVms, private val dataCentre: DataCentre) {
    /** Returns where [operation] runs at [now]; [hasCustomers] is whether the configuration has customers. */
    public fun place(operation: PlacedOperation, hasCustomers: Boolean, now: Duration): Placement {
        val self = homes.self
        return when {
            !hasCustomers -> Placement.Here(PlacementReason.NO_CUSTOMERS)
            self == null -> Placement.Here(PlacementReason.NO_PEER_ADDRESS)
            !homes.isListed -> Placement.Here(PlacementReason.VMS_UNKNOWN)
            else -> placeAmongHomes(operation, self, now)
        }
    }

    private fun placeAmongHomes(operation: PlacedOperation, self: VmName, now: Duration): Placement {
        val primary = operation.primaryDataCentre
        val (home, reason) = when {
            operation.mayUseReplica -> dataCentre to PlacementReason.HOME_OF_CALLER
            primary == null -> dataCentre to PlacementReason.PRIMARY_UNKNOWN
            else -> primary to PlacementReason.HOME_OF_PRIMARY
        }
        val live = homes.live(operation.group.value, homes.region(home), now)
        if (live.firstOrNull()?.name == self) return Placement.Here(PlacementReason.OWN_HOME)
        // VMs after this one in the order are no better than this one.
        val candidates = live.takeWhile { it.name != self }.take(MAXIMUM_CANDIDATES)
        return if (candidates.isEmpty()) {
            Placement.Here(PlacementReason.NO_HOME)
        } else {
            Placement.Forwarded(candidates, reason)
        }
    }

    private companion object {
        /** Each silent home VM costs an operation up to half a second, so after that this VM serves it. */
        const val MAXIMUM_CANDIDATES = 3
    }
}
