package dev.kumquatknot.operations.settings

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName

/** Protocol by which a node connects to the members of the database groups. */
public sealed interface DatabaseAdapter {
    /** The stand-in database of this project. */
    public data object StandIn : DatabaseAdapter

    /**
     * PostgreSQL over JDBC.
     *
     * @property user role that the node logs in as.
     * @property passwordVariable environment variable that holds the password, so that no file contains it.
     */
    public data class PostgreSql(val user: String, val passwordVariable: String) : DatabaseAdapter
}

/**
 * Settings of one node of the proxy. Each address consists of an IP address and a port.
 *
 * @property vm name of the VM; the replacement of a VM gets a new name.
 * @property callerAddress address at which callers send requests; port 0 lets the system choose.
 * @property operatorAddress address at which the node serves the operators' pages.
 * @property nodeAddress address at which the node serves other nodes.
 * @property platformAddress address of the platform's object API.
 * @property workers threads that serve requests.
 * @property seedAddresses node addresses of other VMs, queried while the platform does not answer.
 */
public data class NodeSettings(
    val vm: VmName,
    val dataCentre: DataCentre,
    val callerAddress: String,
    val operatorAddress: String,
    val nodeAddress: String,
    val platformAddress: String,
    val databaseAdapter: DatabaseAdapter,
    val workers: Int,
    val seedAddresses: List<String> = emptyList(),
) {
    public companion object {
        /** Number of workers if the settings do not give one. */
        public const val DEFAULT_WORKERS: Int = 256
    }
}
