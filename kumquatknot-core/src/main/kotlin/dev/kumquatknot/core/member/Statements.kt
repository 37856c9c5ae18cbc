package dev.kumquatknot.core.member

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Value of a statement parameter or of one cell of a result. */
@Serializable
public sealed interface SqlValue {
    /** SQL null. */
    @Serializable
    @SerialName("null")
    public data object Null : SqlValue

    /** A character string. */
    @Serializable
    @SerialName("text")
    public data class Text(val value: String) : SqlValue

    /** A 64-bit integer. */
    @Serializable
    @SerialName("integer")
    public data class Integer(val value: Long) : SqlValue

    /** A 64-bit floating-point number. */
    @Serializable
    @SerialName("real")
    public data class Real(val value: Double) : SqlValue

    /** A boolean. */
    @Serializable
    @SerialName("boolean")
    public data class Bool(val value: Boolean) : SqlValue
}

/** One SQL statement with `?` placeholders and their [parameters] in order. */
@Serializable
public data class Statement(val text: String, val parameters: List<SqlValue> = emptyList())

/** Result of one statement: rows for a query, [updatedRows] for a change. */
@Serializable
public data class StatementResult(
    val columns: List<String> = emptyList(),
    val rows: List<List<SqlValue>> = emptyList(),
    val updatedRows: Long = 0,
)

/** What happens to the transaction of a connection after the statements of a batch have run. */
public enum class BatchEnd {
    /** The transaction stays open on this connection. */
    KEEP_OPEN,

    /** The transaction commits. */
    COMMIT,

    /** The transaction is rolled back. */
    ROLLBACK,
}

/**
 * Statements that run in order on one connection in one transaction. A transaction begins with the first batch on a
 * connection without one and ends according to [end]; a failed statement rolls it back.
 *
 * @property term the term in which the sender assumes the member to serve; a member that has accepted a higher one
 * rejects the batch.
 * @property readOnly whether the statements only read; a replica runs no others.
 */
public data class StatementBatch(
    val request: RequestId,
    val term: Term,
    val readOnly: Boolean,
    val statements: List<Statement>,
    val end: BatchEnd,
)

/**
 * Answer to a [StatementBatch].
 *
 * @property point the member's last log entry: for a commit the entry of the transaction itself, for a read a point
 * that the data had reached.
 * @property acceptedTerm highest term that the member had accepted when it answered.
 */
public data class BatchReply(
    val request: RequestId,
    val results: List<StatementResult>,
    val point: HistoryPoint,
    val acceptedTerm: Term,
)
