package dev.kumquatknot.core.identity

import kotlinx.serialization.Serializable

/** Name of a database group, unique in the fleet. */
@JvmInline
@Serializable
public value class DatabaseName(public val value: String) : Comparable<DatabaseName> {
    override fun compareTo(other: DatabaseName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of one member (backend server) of a database group, unique in the fleet, such as `inventory-1-b`. */
@JvmInline
@Serializable
public value class MemberName(public val value: String) : Comparable<MemberName> {
    override fun compareTo(other: MemberName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a VM that runs a node of the proxy. The replacement of a VM has a new name. */
@JvmInline
@Serializable
public value class VmName(public val value: String) : Comparable<VmName> {
    override fun compareTo(other: VmName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a data centre, such as `mendoza-a`. */
@JvmInline
@Serializable
public value class DataCentre(public val value: String) : Comparable<DataCentre> {
    override fun compareTo(other: DataCentre): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a region: a set of data centres close to each other. */
@JvmInline
@Serializable
public value class Region(public val value: String) : Comparable<Region> {
    override fun compareTo(other: Region): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a team, the tenant of the proxy. */
@JvmInline
@Serializable
public value class TeamName(public val value: String) : Comparable<TeamName> {
    override fun compareTo(other: TeamName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a kind of work, unique within its team, such as `book-costume`. */
@JvmInline
@Serializable
public value class KindName(public val value: String) : Comparable<KindName> {
    override fun compareTo(other: KindName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifier of one request, unique in the fleet; answers are matched to requests by it. */
@JvmInline
@Serializable
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}
