package dev.kumquatknot.core.platform

import arrow.core.Either
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Version of an object in the platform's object API; 0 stands for an object that does not exist. */
@JvmInline
@Serializable
public value class ObjectVersion(public val value: Long) : Comparable<ObjectVersion> {
    override fun compareTo(other: ObjectVersion): Int = value.compareTo(other.value)

    public companion object {
        /** Expected version of an object that is to be created. */
        public val ABSENT: ObjectVersion = ObjectVersion(0)
    }
}

/** A stored object: [key] is a path such as `configuration/current`, [value] at most one megabyte of text. */
public data class StoredObject(val key: String, val version: ObjectVersion, val value: String)

/** Failure of a call to the platform's object API. */
public sealed interface StoreFailure {
    /** The object has another version than expected; nothing changed. [current] is null where it does not exist. */
    public data class Conflict(val current: StoredObject?) : StoreFailure

    /** The store refused the call before it had an effect, for example because of its rate. */
    public data class Refused(val detail: String) : StoreFailure

    /** No usable answer; a change may or may not have taken effect. */
    public data class NoAnswer(val detail: String) : StoreFailure
}

/** State of a VM in the platform's list. */
@Serializable
public enum class VmState {
    LIVE,
    LEAVING,
}

/**
 * One entry of the platform's list of VMs, which lags behind the truth.
 *
 * @property address host and port at which the node serves other nodes.
 */
@Serializable
public data class ListedVm(val name: VmName, val dataCentre: DataCentre, val address: String, val state: VmState)

/** Single objects with conditional writes, as duties need them. Every call is counted by the platform. */
public interface ConditionalStore {
    /** Reads an object; null where it does not exist. */
    public fun read(key: String): Either<StoreFailure, StoredObject?>

    /** Reads an object as it was at most some seconds ago, which may be cheaper; null where it did not exist. */
    public fun readStale(key: String): Either<StoreFailure, StoredObject?> = read(key)

    /** Writes an object if it still has the [expected] version, and returns the new one. */
    public fun write(key: String, value: String, expected: ObjectVersion): Either<StoreFailure, StoredObject>
}

/** The platform's service as the proxy uses it. Every call is counted by the platform, a waiting watch as one. */
public interface ObjectStore : ConditionalStore {
    /** Reads all objects whose keys start with [prefix], ordered by key. */
    public fun readAll(prefix: String): Either<StoreFailure, List<StoredObject>>

    /** Waits at most [timeout] for a version of [key] above [known]; null where none came. */
    public fun watch(key: String, known: ObjectVersion, timeout: Duration): Either<StoreFailure, StoredObject?>

    /** Reads the lagging list of live and leaving VMs of the proxy. */
    public fun vms(): Either<StoreFailure, List<ListedVm>>
}
