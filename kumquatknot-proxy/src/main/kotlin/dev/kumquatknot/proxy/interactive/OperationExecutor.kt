package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.customer.CustomerDirectory
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.interactive.InteractiveRoute
import dev.kumquatknot.core.interactive.RejectionCode
import dev.kumquatknot.core.interactive.SessionReply
import dev.kumquatknot.core.interactive.StatementResult
import dev.kumquatknot.core.interactive.TransactionState

/** Runs the operations of sessions, on this VM or on another one. */
internal interface OperationExecutor {
    /**
     * Runs [call] outside a transaction; [done] is called once, unless the returned function is called before. That
     * cancels the call: if it was not sent to a member yet, it never will be.
     */
    fun run(call: StatementCall, done: (StatementOutcome) -> Unit): Cancel

    /** Begins a transaction on [route]. No member is needed before its first statement. */
    fun begin(route: InteractiveRoute, readOnly: Boolean): SessionTransaction
}

/** Runs operations with this VM's own connections to members. */
internal class LocalExecutor(
    private val group: (DatabaseName) -> GroupPools,
    private val environment: NodeEnvironment,
    private val limiter: OperationLimiter,
) : OperationExecutor {
    override fun run(call: StatementCall, done: (StatementOutcome) -> Unit): Cancel {
        var statement: SingleStatement? = null
        var isCancelled = false
        limiter.admit(call) { refusal ->
            when {
                isCancelled -> Unit
                refusal != null -> done(refused(refusal))
                else -> SingleStatement(call, group(call.route.group), environment, done)
                    .also { statement = it }
                    .start()
            }
        }
        return {
            isCancelled = true
            statement?.cancel()
        }
    }

    override fun begin(route: InteractiveRoute, readOnly: Boolean): SessionTransaction =
        LocalTransaction(route, readOnly, group(route.group), environment, limiter)

    private fun refused(refusal: StatementResult.Rejected) =
        StatementOutcome(SessionReply(emptyList(), refusal, TransactionState.IDLE), null, RoutingDetails())
}

/** Decides whether an operation is within the limit of its customer. */
internal fun interface OperationLimiter {
    /**
     * Counts the operation that begins with [call]. Calls [done] once, now or when it is decided, with null if the
     * operation may run, or with the rejection for its caller, who is told when to come back.
     */
    fun admit(call: StatementCall, done: (StatementResult.Rejected?) -> Unit)

    /** Applies the limits of [customers], those of the configuration in force, from now on. */
    fun configure(customers: CustomerDirectory) = Unit

    companion object {
        /** Admits all operations. */
        val UNLIMITED: OperationLimiter = OperationLimiter { _, done -> done(null) }

        /** Returns the rejection of an operation whose customer may come back after [milliseconds]. */
        fun rejection(customer: String, milliseconds: Long): StatementResult.Rejected = StatementResult.Rejected(
            RejectionCode.BUSY,
            "the limit of $customer is reached; retry after $milliseconds ms",
        )
    }
}
