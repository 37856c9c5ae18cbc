package dev.kumquatknot.core.configuration

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.identity.TeamName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Rank of a kind of work. Declaration order is the order of urgency. */
@Serializable
public enum class Rank {
    @SerialName("urgent")
    URGENT,

    @SerialName("standard")
    STANDARD,

    @SerialName("background")
    BACKGROUND,
}

/** What a kind of work does to the data. */
@Serializable
public enum class Access {
    @SerialName("read")
    READ,

    @SerialName("write")
    WRITE,
}

/** What a kind of work is for; today's page groups its sentences by it. */
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

/** Whether a repetition of the work does harm. */
@Serializable
public enum class Repetition {
    /** Running the work twice has the effect of running it once. */
    @SerialName("idempotent")
    IDEMPOTENT,

    /** The work runs at most once and needs an idempotency key. */
    @SerialName("at-most-once")
    AT_MOST_ONCE,
}

/**
 * One kind of work of a team.
 *
 * @property targetMillis time within which the team wants the answer, in milliseconds.
 * @property deadlineMillis time after which the answer is of no more use, in milliseconds.
 * @property maximumAgeMillis age of data that readers accept, in milliseconds; null where a reader must see all that
 * its own session wrote. A read with a maximum age still sees the writes of its own session.
 * @property floorPercent share of each member's slots that this kind keeps while other work floods in.
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
 * @property keyHash SHA-256 of the team's key, in lower-case hexadecimal digits.
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
 * @property slots statements that the member runs at the same time.
 * @property connections connections that the member accepts in all.
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
 * @property number grows by one with each accepted configuration; a node never goes back to a lower one.
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

    /** Returns the region of [dataCentre], or null where it is not configured. */
    public fun region(dataCentre: DataCentre): Region? = dataCentres.firstOrNull { it.name == dataCentre }?.region

    public companion object {
        /** Key of the current configuration in the platform's object API. */
        public const val STORE_KEY: String = "configuration/current"

        /** The configuration of a node that has not seen one yet. */
        public val EMPTY: FleetConfiguration = FleetConfiguration(0, emptyList(), emptyList(), emptyList())
    }
}
