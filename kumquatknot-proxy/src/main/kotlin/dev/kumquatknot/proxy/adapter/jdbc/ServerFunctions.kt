package dev.kumquatknot.proxy.adapter.jdbc

import dev.kumquatknot.core.history.LogPosition
import java.sql.Connection
import java.sql.ResultSet
import java.sql.SQLException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** PostgreSQL's published functions and views that the adapter uses. */
internal object ServerFunctions {
    fun isReplica(connection: Connection): Boolean = connection.single("SELECT pg_is_in_recovery()") { getBoolean(1) }

    /** Position up to which a replica shows the data, or up to which a primary has written its log. */
    fun position(connection: Connection, replica: Boolean): LogPosition {
        val function = if (replica) "pg_last_wal_replay_lsn" else "pg_current_wal_lsn"
        val text = connection.single("SELECT $function()") { getString(1).orEmpty() }
        return LogSequenceNumber.parse(text) ?: throw SQLException("$function() returned '$text'", "XX000")
    }

    /** Time since the replica last heard from its primary; infinite where it receives from none. */
    fun primaryContactAge(connection: Connection): Duration =
        connection.optional(
            "SELECT EXTRACT(EPOCH FROM (clock_timestamp() - last_msg_receipt_time)) FROM pg_stat_wal_receiver",
        ) { getDouble(1).seconds } ?: Duration.INFINITE

    /** Host and port from which a replica receives its log, or null. */
    fun upstream(connection: Connection): String? =
        connection.optional("SELECT sender_host, sender_port FROM pg_stat_wal_receiver") {
            "${getString(1)}:${getInt(2)}"
        }

    fun pauseReplay(connection: Connection) = connection.call("SELECT pg_wal_replay_pause()")

    fun resumeReplay(connection: Connection) = connection.call("SELECT pg_wal_replay_resume()")

    /** Promotes a replica and waits for the end of its recovery; tells whether it came within [wait]. */
    fun promote(connection: Connection, wait: Duration): Boolean =
        connection.single("SELECT pg_promote(true, ${wait.inWholeSeconds.coerceAtLeast(1)})") { getBoolean(1) }

    private fun <T : Any> Connection.single(query: String, read: ResultSet.() -> T): T =
        optional(query, read) ?: throw SQLException("no row from: $query", "XX000")

    private fun <T : Any> Connection.optional(query: String, read: ResultSet.() -> T): T? =
        createStatement().use { statement ->
            statement.executeQuery(query).use { if (it.next()) it.read() else null }
        }

    private fun Connection.call(query: String) = createStatement().use { it.execute(query) }
}
