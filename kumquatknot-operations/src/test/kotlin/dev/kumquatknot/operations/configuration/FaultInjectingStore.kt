package dev.kumquatknot.operations.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import kotlin.time.Duration

/** Fault of one write: refused, or its answer lost before or after the write takes effect. */
internal enum class WriteFault { NONE, REFUSED, LOST_BEFORE, LOST_AFTER }

/** In-memory object store that injects the queued [faults] into the next writes. */
internal class FaultInjectingStore : ObjectStore {
    val objects = mutableMapOf<String, StoredObject>()
    val faults = ArrayDeque<WriteFault>()
    var readsFail = false
    var beforeWrite: () -> Unit = {}

    override fun read(key: String): Either<StoreFailure, StoredObject?> =
        if (readsFail) StoreFailure.NoAnswer("outage").left() else objects[key].right()

    override fun readAll(prefix: String): Either<StoreFailure, List<StoredObject>> =
        if (readsFail) {
            StoreFailure.NoAnswer("outage").left()
        } else {
            objects.values.filter { it.key.startsWith(prefix) }.sortedBy { it.key }.right()
        }

    override fun write(key: String, value: String, expected: ObjectVersion): Either<StoreFailure, StoredObject> {
        val concurrentWrite = beforeWrite
        beforeWrite = {}
        concurrentWrite()
        val fault = faults.removeFirstOrNull() ?: WriteFault.NONE
        if (fault == WriteFault.REFUSED) return StoreFailure.Refused("rate").left()
        if (fault == WriteFault.LOST_BEFORE) return StoreFailure.NoAnswer("lost").left()
        val current = objects[key]
        if ((current?.version ?: ObjectVersion.ABSENT) != expected) return StoreFailure.Conflict(current).left()
        val stored = StoredObject(key, ObjectVersion(expected.value + 1), value)
        objects[key] = stored
        return if (fault == WriteFault.LOST_AFTER) StoreFailure.NoAnswer("lost").left() else stored.right()
    }

    override fun watch(key: String, known: ObjectVersion, timeout: Duration): Either<StoreFailure, StoredObject?> =
        objects[key]?.takeIf { it.version > known }.right()

    override fun vms(): Either<StoreFailure, List<ListedVm>> = emptyList<ListedVm>().right()
}
