package dev.kumquatknot.proxy.forwarding

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.ReadConsistency
import dev.kumquatknot.core.interactive.StatementAccess
import dev.kumquatknot.proxy.fleet.PeerListener
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.PeerNetwork
import dev.kumquatknot.proxy.interactive.Cancel
import dev.kumquatknot.proxy.interactive.NodeEnvironment
import dev.kumquatknot.proxy.interactive.OperationExecutor
import dev.kumquatknot.proxy.interactive.SessionTransaction
import dev.kumquatknot.proxy.interactive.StatementCall
import dev.kumquatknot.proxy.interactive.StatementOutcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What decides where an operation runs.
 *
 * @property needsPrimary whether only the group's primary can serve it: a write, a read of current data, or a
 * transaction that may write.
 */
internal data class OperationTraits(val route: InteractiveRoute, val needsPrimary: Boolean)

/**
 * Returns the VMs at which an operation should run, the best first. After them this VM serves it by itself, at once if
 * there are none.
 */
internal typealias PlaceOperation = (OperationTraits) -> List<VmName>

/**
 * Runs operations at the VMs that [place] names, and by itself with [local] if none of them can be reached or serves
 * them. Has to be added to [network] as a listener.
 *
 * @param firstNumber number of the first request to another VM; differs between the processes of a VM.
 * @param dropLink drops the link to a VM that is silent.
 * @param onFailing called with a VM to which the link was lost.
 * @param onAnswering called with a VM that answered a request.
 */
internal class ForwardingExecutor(
    private val local: OperationExecutor,
    private val network: PeerNetwork,
    private val environment: NodeEnvironment,
    private val place: PlaceOperation,
    firstNumber: Long,
    dropLink: (VmName) -> Unit,
    private val onFailing: (VmName) -> Unit,
    private val onAnswering: (VmName) -> Unit,
) : OperationExecutor, PeerListener {
    private val requests = PeerRequests(network, environment, firstNumber, dropLink)
    private val openTransactions = HashMap<VmName, MutableSet<ForwardedTransaction>>()
    private val services = ForwardingServices(
        local = local,
        network = network,
        environment = environment,
        requests = requests,
        candidate = ::candidate,
        onOpen = { vm, transaction -> openTransactions.getOrPut(vm) { LinkedHashSet() } += transaction },
        onEnd = { vm, transaction -> openTransactions[vm]?.remove(transaction) },
    )

    override fun run(call: StatementCall, done: (StatementOutcome) -> Unit): Cancel {
        val needsPrimary =
            call.access == StatementAccess.WRITE || call.route.consistency == ReadConsistency.CURRENT
        val traits = OperationTraits(call.route, needsPrimary)
        if (candidate(traits, emptySet()) == null) return local.run(call, done)
        val statement = ForwardedStatement(call, traits, services, done)
        statement.start()
        return statement::cancel
    }

    override fun begin(route: InteractiveRoute, readOnly: Boolean): SessionTransaction {
        val needsPrimary = !readOnly || route.consistency == ReadConsistency.CURRENT
        return ForwardedTransaction(route, readOnly, OperationTraits(route, needsPrimary), services)
    }

    override fun received(vm: VmName, message: PeerMessage) {
        if (message.outcome != null) onAnswering(vm)
        requests.received(vm, message)
    }

    override fun notSent(vm: VmName, message: PeerMessage) = requests.notSent(vm, message)

    override fun disconnected(vm: VmName) {
        onFailing(vm)
        openTransactions.remove(vm)?.forEach { it.homeLost() }
        requests.disconnected(vm)
    }

    private fun candidate(traits: OperationTraits, tried: Set<VmName>): VmName? =
        if (tried.size < MAXIMUM_FORWARDS) place(traits).firstOrNull { it !in tried } else null

    private companion object {
        /**
         * VMs to which an operation is forwarded in turn. Each may take 500 ms to be found silent, and the operation
         * has to be served by this VM itself within its deadline after that.
         */
        const val MAXIMUM_FORWARDS = 2
    }
}

/**
 * Parts of a [ForwardingExecutor] that its operations use.
 *
 * @property candidate the VM at which to run an operation, other than those that were tried; null if it runs here.
 * @property onOpen called with a transaction and its home VM when that was chosen.
 * @property onEnd called when the home VM holds nothing of a transaction any more.
 */
internal class ForwardingServices(
    val local: OperationExecutor,
    val network: PeerNetwork,
    val environment: NodeEnvironment,
    val requests: PeerRequests,
    val candidate: (OperationTraits, tried: Set<VmName>) -> VmName?,
    val onOpen: (VmName, ForwardedTransaction) -> Unit,
    val onEnd: (VmName, ForwardedTransaction) -> Unit,
) {
    /**
     * Time until which the home VM of [call] has to answer. It normally answers by the deadline; preparing a connection
     * and beginning a transaction have timeouts of their own, which may end later.
     */
    fun answerDueAt(call: StatementCall): Duration = call.deadline + ANSWER_GRACE

    private companion object {
        val ANSWER_GRACE = 1.seconds
    }
}
