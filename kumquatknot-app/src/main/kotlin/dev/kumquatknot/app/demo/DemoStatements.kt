package dev.kumquatknot.app.demo

import dev.kumquatknot.client.Statement
import dev.kumquatknot.client.statement

/** The SQL statements of the demo. The table has no unique key, so that a write that ran twice leaves two rows. */
internal object DemoStatements {
    const val CREATE_TABLE: String = "CREATE TABLE demo_work (id VARCHAR(80), kind VARCHAR(80), caller VARCHAR(80))"

    /** Inserts the row [id]. */
    fun insert(id: String, kind: String, caller: String): List<Statement> =
        listOf(statement("INSERT INTO demo_work (id, kind, caller) VALUES (?, ?, ?)", id, kind, caller))

    /** Deletes the row [id] and inserts it again, which is idempotent. */
    fun replace(id: String, kind: String, caller: String): List<Statement> =
        listOf(statement("DELETE FROM demo_work WHERE id = ?", id)) + insert(id, kind, caller)

    /** Counts the rows with [id]. */
    fun countById(id: String): List<Statement> = listOf(statement("SELECT COUNT(*) FROM demo_work WHERE id = ?", id))

    /** Lists the ids that [caller] wrote, each with its number of rows. */
    fun countByIdOfCaller(caller: String): List<Statement> =
        listOf(statement("SELECT id, COUNT(*) FROM demo_work WHERE caller = ? GROUP BY id", caller))
}
