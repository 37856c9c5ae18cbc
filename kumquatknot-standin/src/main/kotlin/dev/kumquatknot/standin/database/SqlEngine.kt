package dev.kumquatknot.standin.database

import arrow.core.Either
import dev.kumquatknot.core.member.Statement
import dev.kumquatknot.core.member.StatementResult

/** Failure of a statement, rejected before or during its execution in the engine. */
internal data class SqlFailure(val sqlState: String, val detail: String)

/** Class of a statement by its effect. */
internal enum class StatementClass {
    QUERY,
    CHANGE,

    /** A change of the schema, which the engine commits at once. */
    SCHEMA,
}

/** Result of one statement and its class. */
internal data class EngineResult(val result: StatementResult, val statementClass: StatementClass)

/** Embedded SQL engine of one member. */
internal interface SqlEngine : AutoCloseable {
    fun open(): SqlSession
}

/** One session of a [SqlEngine]; each of its transactions reads from one snapshot. */
internal interface SqlSession : AutoCloseable {
    /** The engine that opened this session. */
    val engine: SqlEngine

    /** Starts a transaction and creates its snapshot. */
    fun begin(): Either<SqlFailure, Unit>

    fun run(statement: Statement, readOnly: Boolean): Either<SqlFailure, EngineResult>

    fun commit(): Either<SqlFailure, Unit>

    fun rollback()
}
