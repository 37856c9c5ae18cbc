package dev.kumquatknot.app.demo

import dev.kumquatknot.client.Statement
import dev.kumquatknot.client.statement

/** The statements of the demo. Rows have no unique key, so that work that ran twice shows. */
internal object DemoWork {
    const val CREATE_TABLE: String = "CREATE TABLE demo_work (id VARCHAR(80), kind VARCHAR(80), caller VARCHAR(80))"

    /** Adds the row [id]. */
    fun add(id: String, kind: String, caller: String): List<Statement> =
        listOf(statement("INSERT INTO demo_work (id, kind, caller) VALUES (?, ?, ?)", id, kind, caller))

    /** Adds the row [id] in a way that may be repeated. */
    fun put(id: String, kind: String, caller: String): List<Statement> =
        listOf(statement("DELETE FROM demo_work WHERE id = ?", id)) + add(id, kind, caller)

    /** Counts the rows [id]. */
    fun count(id: String): List<Statement> = listOf(statement("SELECT COUNT(*) FROM demo_work WHERE id = ?", id))

    /** Lists the rows of [caller] with their number. */
    fun listOf(caller: String): List<Statement> =
        listOf(statement("SELECT id, COUNT(*) FROM demo_work WHERE caller = ? GROUP BY id", caller))
}
