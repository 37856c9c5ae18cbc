package dev.kumquatknot.proxy.node

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Term and primary of a database group in the view of a node. */
@Serializable
internal data class GroupStatus(val database: String, val term: Long, val primary: String)

/** Condition of a VM in the view of a node. */
@Serializable
internal data class VmStatus(val vm: String, val dataCentre: String, val condition: String, val incarnation: Long)

/** State of a node, shown to operators as JSON. */
@Serializable
internal data class NodeStatus(
    val vm: String,
    val ready: Boolean,
    val configurationNumber: Long,
    val openTransactions: Int,
    val vms: List<VmStatus>,
    val groups: List<GroupStatus>,
) {
    companion object {
        private val json = Json { prettyPrint = true }

        /** Returns the current state of [node] in JSON. */
        fun of(node: ProxyNode): String {
            val fleet = node.fleet
            val status = NodeStatus(
                vm = fleet.self.name.value,
                ready = node.ready,
                configurationNumber = node.configuration.number,
                openTransactions = node.openTransactions,
                vms = fleet.records.values.sortedBy { it.name }.map {
                    VmStatus(it.name.value, it.dataCentre.value, it.condition.name.lowercase(), it.incarnation)
                },
                groups = node.configuration.databases.mapNotNull { database ->
                    node.primary(database.name)?.let {
                        GroupStatus(database.name.value, it.term.value, it.primary.value)
                    }
                },
            )
            return json.encodeToString(serializer(), status)
        }
    }
}
