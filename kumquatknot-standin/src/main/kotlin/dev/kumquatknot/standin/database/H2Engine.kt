package dev.kumquatknot.standin.database

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementResult
import org.h2.engine.Constants
import org.h2.jdbcx.JdbcDataSource
import java.math.BigDecimal
import java.sql.Connection
import java.sql.PreparedStatement
import java.sql.ResultSet
import java.sql.SQLException
import java.util.concurrent.atomic.AtomicLong

/** [SqlEngine] on a private in-memory H2 database in PostgreSQL mode. */
internal class H2Engine : SqlEngine {
    private val dataSource = JdbcDataSource().apply {
        setURL("jdbc:h2:mem:member-${databaseCount.incrementAndGet()};$OPTIONS")
    }
    private val keepAliveConnection = dataSource.connection

    override fun open(): SqlSession = H2Session(this, dataSource.connection)

    override fun close() {
        try {
            keepAliveConnection.createStatement().use { it.execute("SHUTDOWN IMMEDIATELY") }
        } catch (_: SQLException) {
            return
        }
    }

    private companion object {
        const val OPTIONS = "MODE=PostgreSQL;DATABASE_TO_LOWER=TRUE;DEFAULT_NULL_ORDERING=HIGH;LOCK_TIMEOUT=1000"
        val databaseCount = AtomicLong()
    }
}

private class H2Session(override val engine: SqlEngine, private val connection: Connection) : SqlSession {
    init {
        connection.autoCommit = false
        connection.transactionIsolation = Constants.TRANSACTION_SNAPSHOT
    }

    override fun begin(): Either<SqlFailure, Unit> = catchSqlException {
        connection.createStatement().use { it.execute("SELECT 1") }
    }

    override fun run(statement: Statement, readOnly: Boolean): Either<SqlFailure, EngineResult> =
        StatementClassifier.classify(statement.text).flatMap { statementClass ->
            if (readOnly && statementClass != StatementClass.QUERY) {
                return SqlFailure(SqlStates.READ_ONLY_TRANSACTION, "a read-only batch changes nothing").left()
            }
            catchSqlException {
                connection.prepareStatement(statement.text).use { prepared ->
                    prepared.bind(statement.parameters)
                    val result = if (prepared.execute()) {
                        prepared.resultSet.use { it.toResult() }
                    } else {
                        StatementResult(updatedRows = prepared.largeUpdateCount)
                    }
                    EngineResult(result, statementClass)
                }
            }
        }

    override fun commit(): Either<SqlFailure, Unit> = catchSqlException { connection.commit() }

    override fun rollback() {
        catchSqlException { connection.rollback() }
    }

    override fun close() {
        catchSqlException { connection.close() }
    }

    private fun <T> catchSqlException(action: () -> T): Either<SqlFailure, T> =
        Either.catchOrThrow<SQLException, T>(action)
            .mapLeft { SqlFailure(it.sqlState ?: SqlStates.INTERNAL_ERROR, it.message.orEmpty()) }
}

private fun PreparedStatement.bind(parameters: List<SqlValue>) = parameters.forEachIndexed { index, value ->
    when (value) {
        SqlValue.Null -> setObject(index + 1, null)
        is SqlValue.Text -> setString(index + 1, value.value)
        is SqlValue.Integer -> setLong(index + 1, value.value)
        is SqlValue.Real -> setDouble(index + 1, value.value)
        is SqlValue.Bool -> setBoolean(index + 1, value.value)
    }
}

private fun ResultSet.toResult(): StatementResult {
    val columns = (1..metaData.columnCount).map { metaData.getColumnLabel(it) }
    val rows = buildList {
        while (next()) add(columns.indices.map { getObject(it + 1).toSqlValue() })
    }
    return StatementResult(columns, rows)
}

private fun Any?.toSqlValue(): SqlValue = when (this) {
    null -> SqlValue.Null
    is Boolean -> SqlValue.Bool(this)
    is Byte, is Short, is Int, is Long -> SqlValue.Integer((this as Number).toLong())
    is Float, is Double -> SqlValue.Real((this as Number).toDouble())
    is BigDecimal -> toIntegerOrText()
    else -> SqlValue.Text(toString())
}

private fun BigDecimal.toIntegerOrText(): SqlValue = try {
    SqlValue.Integer(longValueExact())
} catch (_: ArithmeticException) {
    SqlValue.Text(toPlainString())
}
