package dev.kumquatknot.proxy.adapter.jdbc

import arrow.core.Either
import dev.kumquatknot.core.configuration.MemberConfiguration
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.member.MemberFailure
import dev.kumquatknot.core.member.MemberPort
import dev.kumquatknot.core.outcome.Step
import java.sql.Connection
import java.sql.DriverManager
import java.util.Properties
import java.util.concurrent.Executors
import kotlin.time.Duration

/** Opens a JDBC connection to [member]; throws [java.sql.SQLException] on failure. */
public typealias OpenJdbcConnection = (member: MemberConfiguration) -> Connection

/**
 * Creates member ports to PostgreSQL over JDBC. `docs/design/postgresql.md` describes which guarantees of the port
 * PostgreSQL's published functions can provide.
 *
 * @param members the members of one database group.
 * @param open opens a connection; [postgreSql] returns the implementation for real servers.
 */
public class JdbcMembers internal constructor(
    private val members: List<MemberConfiguration>,
    private val termLock: String,
    private val open: OpenJdbcConnection,
) {
    public constructor(members: List<MemberConfiguration>, open: OpenJdbcConnection) : this(members, "FOR SHARE", open)

    private val threads = Executors.newCachedThreadPool { task ->
        Thread(task, "jdbc-adapter").apply { isDaemon = true }
    }

    /** Returns the port to the member [name]; throws [IllegalArgumentException] if the group has no such member. */
    public fun port(name: MemberName): MemberPort {
        val member = requireNotNull(members.firstOrNull { it.name == name }) { "no member $name in the database group" }
        val control = JdbcControl(name, { connect(member, it) }, threads) { primary ->
            members.firstOrNull { it.name == primary }?.address
        }
        return MemberPort(
            member = name,
            connect = { timeout -> connect(member, timeout).map { JdbcConnection(name, it, threads, termLock) } },
            report = control::report,
            acceptTerm = control::acceptTerm,
            promote = control::promote,
            follow = control::follow,
        )
    }

    private fun connect(member: MemberConfiguration, timeout: Duration): Either<MemberFailure, Connection> =
        callBlocking(threads, timeout, onLateResult = { it.close() }) { open(member) }.mapLeft { failure ->
            when (failure) {
                is BlockingFailure.Sql -> SqlStates.connectFailure(member.name, failure.exception)
                BlockingFailure.TimedOut ->
                    MemberFailure.Unreachable(member.name, Step.CONNECT, "no connection within $timeout")
            }
        }

    public companion object {
        /** SQL statements that the owner of a database runs once at its primary, before the proxy uses the database. */
        public val schema: List<String> get() = TermTable.schema

        /** Returns a function that connects to [database] at PostgreSQL servers as [user]. */
        public fun postgreSql(database: DatabaseName, user: String, password: String): OpenJdbcConnection = { member ->
            val properties = Properties()
            properties["user"] = user
            properties["password"] = password
            properties["connectTimeout"] = CONNECT_TIMEOUT_SECONDS
            properties["tcpKeepAlive"] = "true"
            properties["ApplicationName"] = "kumquatknot"
            DriverManager.getConnection("jdbc:postgresql://${member.address}/$database", properties)
        }

        private const val CONNECT_TIMEOUT_SECONDS = "10"
    }
}
