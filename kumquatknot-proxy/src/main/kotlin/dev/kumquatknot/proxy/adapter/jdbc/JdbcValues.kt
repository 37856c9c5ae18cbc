package dev.kumquatknot.proxy.adapter.jdbc

import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementResult
import java.math.BigDecimal
import java.sql.Connection
import java.sql.PreparedStatement
import java.sql.ResultSet

/** Runs [statement] and returns its result rows, or the number of updated rows if it is not a query. */
internal fun Connection.runStatement(statement: Statement): StatementResult =
    prepareStatement(statement.text).use { prepared ->
        prepared.bind(statement.parameters)
        if (prepared.execute()) {
            prepared.resultSet.use { it.toResult() }
        } else {
            StatementResult(updatedRows = prepared.updateCount.toLong())
        }
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
    is BigDecimal -> SqlValue.Text(toPlainString())
    else -> SqlValue.Text(toString())
}
