package dev.kumquatknot.proxy.peer

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.member.SqlValue
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementResult
import dev.kumquatknot.protocol.sql.Row
import dev.kumquatknot.protocol.sql.Value
import dev.kumquatknot.protocol.sql.HistoryPoint as HistoryPointMessage
import dev.kumquatknot.protocol.sql.Statement as StatementMessage
import dev.kumquatknot.protocol.sql.StatementResult as StatementResultMessage

/** Converts a statement to its message. */
public fun Statement.toMessage(): StatementMessage =
    StatementMessage.newBuilder().setText(text).addAllParameters(parameters.map { it.toMessage() }).build()

/** Converts a statement from its message. */
public fun StatementMessage.toStatement(): Statement = Statement(text, parametersList.map { it.toSqlValue() })

/** Converts a result to its message. */
public fun StatementResult.toMessage(): StatementResultMessage =
    StatementResultMessage.newBuilder()
        .addAllColumns(columns)
        .addAllRows(rows.map { it.toRow() })
        .setUpdatedRows(updatedRows)
        .build()

/** Converts a result from its message. */
public fun StatementResultMessage.toStatementResult(): StatementResult =
    StatementResult(
        columns = columnsList.toList(),
        rows = rowsList.map { row -> row.valuesList.map { it.toSqlValue() } },
        updatedRows = updatedRows,
    )

/** Converts a point to its message. */
public fun HistoryPoint.toMessage(): HistoryPointMessage =
    HistoryPointMessage.newBuilder().setTerm(term.value).setPosition(position.value).build()

/** Converts a point from its message. */
public fun HistoryPointMessage.toHistoryPoint(): HistoryPoint = HistoryPoint(Term(term), LogPosition(position))

private fun List<SqlValue>.toRow(): Row = Row.newBuilder().addAllValues(map { it.toMessage() }).build()

private fun SqlValue.toMessage(): Value = when (this) {
    SqlValue.Null -> Value.getDefaultInstance()
    is SqlValue.Text -> Value.newBuilder().setText(value).build()
    is SqlValue.Integer -> Value.newBuilder().setInteger(value).build()
    is SqlValue.Real -> Value.newBuilder().setReal(value).build()
    is SqlValue.Bool -> Value.newBuilder().setBool(value).build()
}

private fun Value.toSqlValue(): SqlValue = when (valueCase) {
    Value.ValueCase.TEXT -> SqlValue.Text(text)
    Value.ValueCase.INTEGER -> SqlValue.Integer(integer)
    Value.ValueCase.REAL -> SqlValue.Real(real)
    Value.ValueCase.BOOL -> SqlValue.Bool(bool)
    Value.ValueCase.VALUE_NOT_SET, null -> SqlValue.Null
}
