package dev.kumquatknot.proxy.adapter.jdbc

import org.h2.jdbcx.JdbcDataSource
import java.sql.Connection
import java.time.OffsetDateTime
import java.util.concurrent.ConcurrentHashMap

/** An embedded H2 database with aliases for PostgreSQL's functions, which return their documented results. */
class EmbeddedServer(
    val name: String,
    @Volatile var inRecovery: Boolean,
) : AutoCloseable {
    @Volatile
    var position = "0/1"

    @Volatile
    var replayPaused = false

    private val source = JdbcDataSource().apply { setURL("jdbc:h2:mem:$name;MODE=PostgreSQL;DATABASE_TO_LOWER=TRUE") }
    private val keepAliveConnection = source.connection

    init {
        servers[name] = this
        execute(
            "CREATE TABLE pg_stat_wal_receiver (sender_host TEXT, sender_port INT, " +
                "last_msg_receipt_time TIMESTAMP WITH TIME ZONE)",
        )
        functionMethods.forEach { (sql, method) ->
            execute("CREATE ALIAS $sql FOR '${EmbeddedFunctions::class.java.name}.$method'")
        }
        JdbcMembers.schema.forEach(::execute)
    }

    fun open(): Connection = source.connection

    fun execute(sql: String) = keepAliveConnection.createStatement().use { it.execute(sql) }

    override fun close() {
        execute("SHUTDOWN IMMEDIATELY")
        servers -= name
    }

    companion object {
        internal val servers = ConcurrentHashMap<String, EmbeddedServer>()
        private val functionMethods = mapOf(
            "pg_is_in_recovery" to "isInRecovery",
            "pg_current_wal_lsn" to "position",
            "pg_last_wal_replay_lsn" to "position",
            "pg_wal_replay_pause" to "pauseReplay",
            "pg_wal_replay_resume" to "resumeReplay",
            "pg_promote" to "promote",
            "clock_timestamp" to "now",
        )
    }
}

/** The functions behind the aliases of an [EmbeddedServer]. */
object EmbeddedFunctions {
    private fun server(connection: Connection) = EmbeddedServer.servers.getValue(connection.catalog)

    @JvmStatic
    fun isInRecovery(connection: Connection): Boolean = server(connection).inRecovery

    @JvmStatic
    fun position(connection: Connection): String = server(connection).position

    @JvmStatic
    fun pauseReplay(connection: Connection): Boolean = true.also { server(connection).replayPaused = true }

    @JvmStatic
    fun resumeReplay(connection: Connection): Boolean = true.also { server(connection).replayPaused = false }

    @JvmStatic
    fun promote(connection: Connection, wait: Boolean, seconds: Int): Boolean =
        (wait && seconds > 0).also { server(connection).inRecovery = false }

    @JvmStatic
    fun now(): OffsetDateTime = OffsetDateTime.parse("2026-12-04T10:00:05Z")
}
