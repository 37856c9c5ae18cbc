package dev.kumquatknot.core.platform

import arrow.core.Either
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Version of an object in the platform's object API; 0 means that the object does not exist. */
@JvmInline
@Serializable
public value class ObjectVersion(public val value: Long) : Comparable<ObjectVersion> {
    override fun compareTo(other: ObjectVersion): Int = value.compareTo(other.value)

    public companion object {
        /** Expected version when creating an object. */
        public val ABSENT: ObjectVersion = ObjectVersion(0)
    }
}

/** A stored object; [key] is a path such as `configuration/current`, [value] is text of at most one megabyte. */
public data class StoredObject(val key: String, val version: ObjectVersion, val value: String)

/** Failure of a call to the platform's object API. */
public sealed interface StoreFailure {
    /** The object does not have the expected version; nothing changed. [current] is null if it does not exist. */
    public data class Conflict(val current: StoredObject?) : StoreFailure

    /** The store refused the call without any effect, for example because of rate limiting. */
    public data class Refused(val detail: String) : StoreFailure

    /** No usable response; a write may or may not have taken effect. */
    public data class NoAnswer(val detail: String) : StoreFailure
}

/** State of a VM in the platform's list. */
@Serializable
public enum class VmState {
    LIVE,
    LEAVING,
}

/**
 * One entry of the platform's list of VMs, which is delayed.
 *
 * @property address host and port at which the node serves other nodes.
 */
@Serializable
public data class ListedVm(val name: VmName, val dataCentre: DataCentre, val address: String, val state: VmState)

/** Single objects with conditional writes, as used for duties. The platform counts every call. */
public interface ConditionalStore : EraOfStore {
    /** Reads an object; null if it does not exist. */
    public fun read(key: String): Either<StoreFailure, StoredObject?>

    /** Reads an object that may be some seconds stale, which can be cheaper; null if it did not exist. */
    public fun readStale(key: String): Either<StoreFailure, StoredObject?> = read(key)

    /** Writes an object if it still has the [expected] version, and returns it with its new version. */
    public fun write(key: String, value: String, expected: ObjectVersion): Either<StoreFailure, StoredObject>
}

/** Client of the platform's object API. The platform counts every call, a waiting watch as one. */
public interface ObjectStore : ConditionalStore {
    /** Reads all objects whose keys start with [prefix], ordered by key. */
    public fun readAll(prefix: String): Either<StoreFailure, List<StoredObject>>

    /** Blocks up to [timeout] until [key] has a version above [known]; null if the watch timed out. */
    public fun watch(key: String, known: ObjectVersion, timeout: Duration): Either<StoreFailure, StoredObject?>

    /** Reads the platform's delayed list of live and leaving VMs. */
    public fun vms(): Either<StoreFailure, List<ListedVm>>

    public companion object {
        /** Time, beyond the timeout of a watch, after which a client abandons a call without an answer. */
        public val CALL_TIMEOUT: Duration = 3.seconds
    }
}
