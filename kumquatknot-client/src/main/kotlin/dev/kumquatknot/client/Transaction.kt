package dev.kumquatknot.client

import arrow.core.raise.Raise
import arrow.core.raise.recover
import org.http4k.core.Method
import kotlin.time.Duration

/** An interactive transaction in progress. */
public class Transaction internal constructor(private val runStatements: (List<Statement>) -> Answer) {
    /** Runs [statements] in order. If one fails, the transaction and the enclosing block of work end. */
    public fun run(vararg statements: Statement): List<StatementResult> = runStatements(statements.asList()).results
}

/** Runs one interactive transaction from begin to commit or rollback. */
internal class TransactionRunner(
    private val session: Session,
    private val database: String,
    private val kind: String,
    private val key: IdempotencyKey?,
    private val deadline: Duration?,
) {
    fun <T> run(work: Transaction.() -> T): Outcome<T> = recover({ Outcome.Completed(runAndCommit(work)) }) { it }

    private fun <T> Raise<Outcome.Failed>.runAndCommit(work: Transaction.() -> T): T {
        val begun = send("transactions", null, null)
        val handle = "transactions/${answerOrRaise(begun.outcome).transaction}"
        var workCompleted = false
        try {
            val result = Transaction { answerOrRaise(send(handle, begun.entry, it).outcome) }.work()
            workCompleted = true
            commit(handle, begun.entry)
            return result
        } finally {
            if (!workCompleted) send("$handle/rollback", begun.entry, null)
        }
    }

    private fun Raise<Outcome.Failed>.commit(handle: String, entry: String) {
        val outcome = send("$handle/commit", entry, null, key).outcome
        val unknown = with(session) { outcome.resolvable(database, kind, key) } as? Outcome.Unknown
        answerOrRaise(unknown?.resolve() ?: outcome)
    }

    private fun send(
        path: String,
        entry: String?,
        statements: List<Statement>?,
        key: IdempotencyKey? = null,
    ): Attempt {
        val body = statements?.let(Session::body).orEmpty()
        val headers = Session.headers(kind, key)
        val call =
            Call(Method.POST, Session.path(database, path), headers, body, RetryCondition.NOT_RUN, deadline, entry)
        return session.run(call)
    }

    private fun Raise<Outcome.Failed>.answerOrRaise(outcome: Outcome<Answer>): Answer =
        when (outcome) {
            is Outcome.Completed -> outcome.value
            is Outcome.Failed -> raise(outcome)
        }
}
