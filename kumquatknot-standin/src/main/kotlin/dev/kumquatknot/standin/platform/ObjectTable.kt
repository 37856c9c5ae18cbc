package dev.kumquatknot.standin.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoredObject
import java.util.TreeMap
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration

/** Objects with versions, conditional updates and waiting readers. One lock guards them all. */
internal class ObjectTable {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private val objects = TreeMap<String, StoredObject>()

    fun read(key: String): StoredObject? = lock.withLock { objects[key] }

    fun readAll(prefix: String): List<StoredObject> = lock.withLock {
        objects.tailMap(prefix).values.takeWhile { it.key.startsWith(prefix) }
    }

    /** Writes the value if the object has the [expected] version; otherwise returns the current object on the left. */
    fun write(
        key: String,
        value: String,
        expected: ObjectVersion,
    ): Either<StoredObject?, StoredObject> = lock.withLock {
        val current = objects[key]
        if ((current?.version ?: ObjectVersion.ABSENT) != expected) return current.left()
        val written = StoredObject(key, ObjectVersion(expected.value + 1), value)
        objects[key] = written
        changed.signalAll()
        written.right()
    }

    fun await(key: String, known: ObjectVersion, timeout: Duration): StoredObject? = lock.withLock {
        var left = timeout.inWholeNanoseconds
        while (left > 0) {
            objects[key]?.let { if (it.version > known) return it }
            left = changed.awaitNanos(left)
        }
        objects[key]?.takeIf { it.version > known }
    }
}
