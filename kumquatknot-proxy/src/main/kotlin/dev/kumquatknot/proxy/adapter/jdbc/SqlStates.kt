package dev.kumquatknot.proxy.adapter.jdbc

import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.outcome.Step
import java.sql.SQLException

/** Maps PostgreSQL's SQLSTATE codes to failures of a call to a member. */
internal object SqlStates {
    /** Returns the failure of a batch. The member has rolled its transaction back, unless the connection was lost. */
    fun batchFailure(member: MemberName, step: Step, term: Term, failure: SQLException): MemberFailure {
        val state = failure.sqlState.orEmpty()
        return when {
            isConnectionLoss(state) -> MemberFailure.NoAnswer(member, step, describe(failure))
            state == READ_ONLY_TRANSACTION -> MemberFailure.NotPrimary(member, step, term)
            else -> MemberFailure.StatementFailed(member, state.ifEmpty { INTERNAL_ERROR }, describe(failure))
        }
    }

    /** Returns the failure to open a connection. */
    fun connectFailure(member: MemberName, failure: SQLException): MemberFailure =
        if (failure.sqlState == TOO_MANY_CONNECTIONS) {
            MemberFailure.TooManyConnections(member, describe(failure))
        } else {
            MemberFailure.Unreachable(member, Step.CONNECT, describe(failure))
        }

    fun isConnectionLoss(state: String): Boolean =
        state.startsWith(CONNECTION_EXCEPTION_CLASS) || state in serverShutdowns

    const val NOT_SUPPORTED = "0A000"
    private const val CONNECTION_EXCEPTION_CLASS = "08"
    private const val TOO_MANY_CONNECTIONS = "53300"
    private const val READ_ONLY_TRANSACTION = "25006"
    private const val INTERNAL_ERROR = "XX000"
    private val serverShutdowns = setOf("57P01", "57P02", "57P03")

    private fun describe(failure: SQLException) = failure.message ?: failure.toString()
}
