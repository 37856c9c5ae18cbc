package dev.kumquatknot.standin.database

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/**
 * Classifies statements, and rejects those that the stand-in can't replicate: replicas run the same statements again,
 * so a statement must be deterministic and must not end its transaction by itself.
 */
internal object StatementClassifier {
    fun classify(text: String): Either<SqlFailure, StatementClass> {
        val normalizedText = text.replace(stringLiterals, "''").trim().uppercase()
        val words = normalizedText.split(whitespace, limit = 3)
        val statementClass = when (words.first()) {
            "SELECT", "VALUES", "TABLE", "EXPLAIN", "WITH" -> StatementClass.QUERY
            "INSERT", "UPDATE", "DELETE", "MERGE" -> StatementClass.CHANGE
            "CREATE", "ALTER", "DROP" -> if (words.getOrNull(1) in schemaObjects) StatementClass.SCHEMA else null
            "TRUNCATE" -> StatementClass.SCHEMA
            else -> null
        } ?: return unsupported("statement '${words.first()}' is not supported")
        return when {
            statementClass == StatementClass.QUERY && changesInQuery.containsMatchIn(normalizedText) ->
                unsupported("a query that changes data or locks rows is not supported")
            statementClass != StatementClass.QUERY && nonDeterministic.containsMatchIn(normalizedText) ->
                unsupported(
                    "a change whose result varies from run to run is not supported: pass the value as parameter",
                )
            else -> statementClass.right()
        }
    }

    private fun unsupported(detail: String) = SqlFailure(SqlStates.NOT_SUPPORTED, detail).left()

    private val stringLiterals = Regex("'[^']*'")
    private val whitespace = Regex("[\\s(]+")
    private val schemaObjects = setOf("TABLE", "INDEX", "UNIQUE", "VIEW")
    private val changesInQuery =
        Regex("\\b(FINAL|OLD|NEW)\\s+TABLE\\b|\\bFOR\\s+(NO\\s+KEY\\s+)?UPDATE\\b|\\bFOR\\s+SHARE\\b")
    private val nonDeterministic = Regex(
        "\\b(RAND|RANDOM|SECURE_RAND|RANDOM_UUID|GEN_RANDOM_UUID|UUID|NOW|CLOCK_TIMESTAMP)\\s*\\(" +
            "|\\b(CURRENT_TIMESTAMP|CURRENT_DATE|CURRENT_TIME|LOCALTIME|LOCALTIMESTAMP|NEXTVAL" +
            "|IDENTITY|AUTO_INCREMENT|SERIAL|BIGSERIAL|SMALLSERIAL)\\b",
    )
}
