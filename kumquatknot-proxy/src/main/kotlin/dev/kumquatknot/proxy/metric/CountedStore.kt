package dev.kumquatknot.proxy.metric

import arrow.core.Either
import dev.kumquatknot.core.platform.ConditionalStore
import dev.kumquatknot.core.platform.ObjectSnapshot
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.core.platform.WatchResult
import dev.kumquatknot.core.platform.WatchableObjects
import kotlin.time.Duration

/** Counts the calls that are made to a store for one [purpose], each of which has a price. Thread-safe. */
public class CountedStore(
    private val records: ConditionalStore,
    private val objects: WatchableObjects,
    private val purpose: StorePurpose,
    private val metrics: InteractiveMetrics,
) : ConditionalStore, WatchableObjects {
    override val era: StoreEra get() = records.era

    override fun read(key: String): Either<StoreFailure, StoredObject?> {
        metrics.storeCalled(purpose, StoreCall.READ)
        return records.read(key)
    }

    override fun readStale(key: String): Either<StoreFailure, StoredObject?> {
        metrics.storeCalled(purpose, StoreCall.STALE_READ)
        return records.readStale(key)
    }

    override fun write(key: String, value: String, expected: ObjectVersion): Either<StoreFailure, StoredObject> {
        metrics.storeCalled(purpose, StoreCall.WRITE)
        return records.write(key, value, expected)
    }

    override fun snapshot(kind: String): Either<StoreFailure, ObjectSnapshot> {
        metrics.storeCalled(purpose, StoreCall.LIST)
        return objects.snapshot(kind)
    }

    override fun changes(kind: String, revision: Long, timeout: Duration): Either<StoreFailure, WatchResult> {
        metrics.storeCalled(purpose, StoreCall.WATCH)
        return objects.changes(kind, revision, timeout)
    }
}
