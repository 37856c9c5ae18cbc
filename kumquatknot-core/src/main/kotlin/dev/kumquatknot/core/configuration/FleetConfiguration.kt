package dev.kumquatknot.core.configuration

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.TeamName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Rank of a kind of work, declared in descending order of urgency. */
@Serializable
public enum class Rank {
    @SerialName("urgent")
    URGENT,

    @SerialName("standard")
    STANDARD,

    @SerialName("background")
    BACKGROUND,
}

/** Whether a kind of work reads or writes data. */
@Serializable
public enum class Access {
    @SerialName("read")
    READ,

    @SerialName("write")
    WRITE,
}

/** Business purpose of a kind of work, by which the page of today's figures groups its sentences. */
@Serializable
public enum class Purpose {
    @SerialName("booking")
    BOOKING,

    @SerialName("payment")
    PAYMENT,

    @SerialName("loan")
    LOAN,

    @SerialName("browsing")
    BROWSING,

    @SerialName("other")
    OTHER,
}

/** Whether the work can safely be repeated. */
@Serializable
public enum class Repetition {
    /** Running the work twice has the same effect as running it once. */
    @SerialName("idempotent")
    IDEMPOTENT,

    /** The work must run at most once and requires an idempotency key. */
    @SerialName("at-most-once")
    AT_MOST_ONCE,
}

/**
 * One kind of work of a team.
 *
 * @property targetMillis time within which the team wants the response, in milliseconds.
 * @property deadlineMillis time after which the response is useless, in milliseconds.
 * @property maximumAgeMillis maximum age of the data that reads accept, in milliseconds; null if only session
 * consistency is required. A read with a maximum age also sees the writes of its own session.
 * @property floorPercent minimum share of each member's slot time for this kind while it has waiting work, in percent.
 */
@Serializable
public data class KindConfiguration(
    val name: KindName,
    val rank: Rank,
    val access: Access,
    val purpose: Purpose,
    val repetition: Repetition,
    val targetMillis: Long,
    val deadlineMillis: Long,
    val maximumAgeMillis: Long? = null,
    val floorPercent: Int,
)

/**
 * One team.
 *
 * @property keyHash SHA-256 of the team's key, in lower-case hexadecimal.
 * @property databases the database groups that the team may use.
 */
@Serializable
public data class TeamConfiguration(
    val name: TeamName,
    val keyHash: String,
    val databases: List<DatabaseName>,
    val kinds: List<KindConfiguration>,
) {
    /** Returns the kind called [name], or null. */
    public fun kind(name: KindName): KindConfiguration? = kinds.firstOrNull { it.name == name }
}

/**
 * One member of a database group.
 *
 * @property address host and port of the backend server.
 * @property slots number of statements that the member runs at the same time.
 * @property connections maximum number of connections that the member accepts.
 */
@Serializable
public data class MemberConfiguration(
    val name: MemberName,
    val dataCentre: DataCentre,
    val address: String,
    val slots: Int,
    val connections: Int,
)

/** One database group with its members. */
@Serializable
public data class DatabaseConfiguration(val name: DatabaseName, val members: List<MemberConfiguration>) {
    /** Number of members that make a majority. */
    val majority: Int get() = members.size / 2 + 1
}

/** One data centre and its region. */
@Serializable
public data class DataCentreConfiguration(val name: DataCentre, val region: Region)

/**
 * The configuration of the whole fleet, generated from the teams' answers.
 *
 * @property number increases by one with each accepted configuration; a node never returns to a lower one.
 */
@Serializable
public data class FleetConfiguration(
    val number: Long,
    val dataCentres: List<DataCentreConfiguration>,
    val databases: List<DatabaseConfiguration>,
    val teams: List<TeamConfiguration>,
) {
    /** Returns the database group called [name], or null. */
    public fun database(name: DatabaseName): DatabaseConfiguration? = databases.firstOrNull { it.name == name }

    /** Returns the team called [name], or null. */
    public fun team(name: TeamName): TeamConfiguration? = teams.firstOrNull { it.name == name }

    /** Returns the region of [dataCentre], or null if it is not configured. */
    public fun region(dataCentre: DataCentre): Region? = dataCentres.firstOrNull { it.name == dataCentre }?.region

    public companion object {
        /** Key of the current configuration in the platform's object API. */
        public const val STORE_KEY: String = "configuration/current"

        /** Initial configuration of a node that has not received one yet. */
        public val EMPTY: FleetConfiguration = FleetConfiguration(0, emptyList(), emptyList(), emptyList())
    }
}
