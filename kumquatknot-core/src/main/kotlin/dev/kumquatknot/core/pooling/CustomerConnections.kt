package dev.kumquatknot.core.pooling

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.pooling.ConnectionDemand.Poll
import dev.kumquatknot.core.pooling.ConnectionDemand.Statement

/**
 * Decides how the connections of a VM to a member are shared among customers.
 *
 * Answers the load of many customers before few connections, where the smallest customers cannot keep one: a customer
 * without a connection gets the place of the idle one that was unused for longest, so that customers keep connections
 * in proportion to their use. The opened connection costs a handshake in one of the member's slots.
 */
public class CustomerConnections {
    /**
     * Returns the index in [idle], ordered as in [ConnectionSituation.idle], of the connection for a statement of
     * [customer]: the one used last, so that surplus connections stay unused; null if there is none.
     */
    public fun chooseForStatement(idle: List<CustomerName?>, customer: CustomerName?): Int? =
        idle.indexOfLast { it == customer }.takeIf { it >= 0 }

    /**
     * Returns the index in [idle] of the connection for a statement of the proxy: one of the proxy, or else the one
     * that a customer is least likely to need meanwhile; null if none is idle.
     */
    public fun chooseForPoll(idle: List<CustomerName?>): Int? =
        chooseForStatement(idle, customer = null) ?: 0.takeIf { idle.isNotEmpty() }

    /** Returns the index in [waiting] of the work that gets a free connection of [customer]; null if there is none. */
    public fun chooseWork(waiting: List<ConnectionDemand>, customer: CustomerName?): Int? {
        // A poll can wait for any other connection, the statement for which this one was opened cannot.
        val own = if (customer == null) -1 else waiting.indexOfFirst { it is Statement && it.customer == customer }
        return if (own >= 0) own else waiting.indexOfFirst { it.accepts(customer) }.takeIf { it >= 0 }
    }

    /**
     * Returns the next change for the waiting work that no opening connection serves. The first such work is served
     * first; a later one only if the customer of the first has too many openings already. An idle connection of another
     * customer is not closed for patient work that a busy connection will serve.
     */
    public fun nextStep(situation: ConnectionSituation, allowance: ConnectionAllowance): ConnectionStep {
        if (situation.opening.size >= allowance.openings) return ConnectionStep.Wait
        val openings = situation.opening.groupingBy { it }.eachCount()
        val openable = unserved(situation)
            .filter { (openings[it.customerToOpen] ?: 0) < allowance.openingsPerCustomer }
        if (situation.open < allowance.connections) {
            return openable.firstOrNull()?.let { ConnectionStep.Open(it.customerToOpen) } ?: ConnectionStep.Wait
        }
        val urgent = withoutPatient(openable, situation.busy).firstOrNull() ?: return ConnectionStep.Wait
        val closed = leastNeeded(situation) ?: return ConnectionStep.Wait
        return ConnectionStep.Replace(closed, urgent.customerToOpen)
    }

    /** Work for which a connection may be opened and which none of the opening ones will serve. */
    private fun unserved(situation: ConnectionSituation): List<ConnectionDemand> {
        val remaining = situation.waiting.toMutableList()
        situation.opening.forEach { customer -> chooseWork(remaining, customer)?.let { remaining.removeAt(it) } }
        return remaining.filterNot { it is Poll && !it.mayOpen }
    }

    private fun withoutPatient(work: List<ConnectionDemand>, busy: List<CustomerName?>): List<ConnectionDemand> {
        val remaining = work.toMutableList()
        busy.forEach { customer -> remaining.remove(Statement(customer, isPatient = true)) }
        return remaining
    }

    /**
     * Returns the index of the idle connection to close first: the one that was unused for longest among those whose
     * customer has no waiting work; null if there is none.
     */
    public fun leastNeeded(situation: ConnectionSituation): Int? {
        val needed = situation.waiting.filterIsInstance<Statement>().mapTo(HashSet()) { it.customer }
        return situation.idle.indexOfFirst { it !in needed }.takeIf { it >= 0 }
    }

    private fun ConnectionDemand.accepts(customer: CustomerName?): Boolean =
        this is Poll || customerToOpen == customer

    private val ConnectionDemand.customerToOpen: CustomerName? get() = (this as? Statement)?.customer
}
