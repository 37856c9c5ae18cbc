package dev.kumquatknot.standin.fleet

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import java.util.TreeMap
import kotlin.time.Duration

/** An object store in memory that can be down. */
class FakeStore : ObjectStore {
    private val objects = TreeMap<String, StoredObject>()
    private var listed: List<ListedVm> = emptyList()
    private var down = false

    @Synchronized
    fun setDown(value: Boolean) {
        down = value
    }

    @Synchronized
    fun list(vms: List<ListedVm>) {
        listed = vms
    }

    @Synchronized
    override fun read(key: String): Either<StoreFailure, StoredObject?> = answer { objects[key].right() }

    @Synchronized
    override fun readAll(prefix: String): Either<StoreFailure, List<StoredObject>> =
        answer { objects.values.filter { it.key.startsWith(prefix) }.right() }

    @Synchronized
    override fun write(
        key: String,
        value: String,
        expected: ObjectVersion,
    ): Either<StoreFailure, StoredObject> = answer {
        val current = objects[key]
        if ((current?.version ?: ObjectVersion.ABSENT) != expected) return@answer StoreFailure.Conflict(current).left()
        StoredObject(key, ObjectVersion(expected.value + 1), value).also { objects[key] = it }.right()
    }

    override fun watch(key: String, known: ObjectVersion, timeout: Duration): Either<StoreFailure, StoredObject?> {
        Thread.sleep(WATCH_POLL_MILLIS)
        return read(key).map { found -> found?.takeIf { it.version > known } }
    }

    @Synchronized
    override fun vms(): Either<StoreFailure, List<ListedVm>> = answer { listed.right() }

    private fun <T> answer(action: () -> Either<StoreFailure, T>): Either<StoreFailure, T> =
        if (down) StoreFailure.NoAnswer("the store is down").left() else action()

    private companion object {
        const val WATCH_POLL_MILLIS = 20L
    }
}
