package dev.kumquatknot.proxy.adapter.jdbc

import dev.kumquatknot.core.history.LogPosition
import java.sql.Connection
import java.sql.ResultSet
import java.sql.SQLException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Calls of the published PostgreSQL functions and views that the adapter uses. */
internal object ServerFunctions {
    fun isReplica(connection: Connection): Boolean = connection.queryRow("SELECT pg_is_in_recovery()") { getBoolean(1) }

    /** Returns the log position that a replica has replayed, or up to which a primary has written its log. */
    fun position(connection: Connection, replica: Boolean): LogPosition {
        val function = if (replica) "pg_last_wal_replay_lsn" else "pg_current_wal_lsn"
        val text = connection.queryRow("SELECT $function()") { getString(1).orEmpty() }
        return LogSequenceNumber.parse(text) ?: throw SQLException("$function() returned '$text'", "XX000")
    }

    /** Returns the time since a replica last received a message from its primary; infinite if it receives from none. */
    fun primaryContactAge(connection: Connection): Duration =
        connection.queryRowOrNull(
            "SELECT EXTRACT(EPOCH FROM (clock_timestamp() - last_msg_receipt_time)) FROM pg_stat_wal_receiver",
        ) { getDouble(1).seconds } ?: Duration.INFINITE

    /** Returns the host and port from which a replica receives its log, or null if it receives from none. */
    fun upstream(connection: Connection): String? =
        connection.queryRowOrNull("SELECT sender_host, sender_port FROM pg_stat_wal_receiver") {
            "${getString(1)}:${getInt(2)}"
        }

    fun pauseReplay(connection: Connection) = connection.execute("SELECT pg_wal_replay_pause()")

    fun resumeReplay(connection: Connection) = connection.execute("SELECT pg_wal_replay_resume()")

    /** Promotes a replica and waits for the end of its recovery; returns whether it ended within [wait]. */
    fun promote(connection: Connection, wait: Duration): Boolean =
        connection.queryRow("SELECT pg_promote(true, ${wait.inWholeSeconds.coerceAtLeast(1)})") { getBoolean(1) }

    private fun <T : Any> Connection.queryRow(query: String, read: ResultSet.() -> T): T =
        queryRowOrNull(query, read) ?: throw SQLException("no row from: $query", "XX000")

    private fun <T : Any> Connection.queryRowOrNull(query: String, read: ResultSet.() -> T): T? =
        createStatement().use { statement ->
            statement.executeQuery(query).use { if (it.next()) it.read() else null }
        }

    private fun Connection.execute(query: String) = createStatement().use { it.execute(query) }
}
