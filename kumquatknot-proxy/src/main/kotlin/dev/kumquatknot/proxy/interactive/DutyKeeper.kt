package dev.kumquatknot.proxy.interactive

import arrow.core.Either
import dev.kumquatknot.core.duty.DutyLease
import dev.kumquatknot.core.duty.DutyRecord
import dev.kumquatknot.core.duty.LeaseStep
import dev.kumquatknot.core.platform.ConditionalStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.core.time.Clock
import dev.kumquatknot.proxy.event.Event
import dev.kumquatknot.proxy.event.EventLog
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps the lease of one duty in the platform's store, or waits for it. Its calls block the [executor], which must have
 * one thread.
 *
 * @param key where the duty's record lies.
 */
public class DutyKeeper(
    private val key: String,
    self: String,
    private val store: ConditionalStore,
    private val executor: ScheduledExecutorService,
    private val clock: Clock,
    private val events: EventLog,
) {
    private val lease = DutyLease(self, VALIDITY)
    private var version = ObjectVersion.ABSENT
    private var holds = false

    @Volatile
    private var token: HeldToken? = null

    /** The fencing token while this process may act, and null otherwise. */
    public val heldToken: Long? get() = token?.takeIf { clock.elapsed() < it.until }?.value

    /** Starts to look after the lease. */
    public fun start() {
        val interval = INTERVAL.inWholeMilliseconds
        executor.scheduleWithFixedDelay(::look, 0, interval, TimeUnit.MILLISECONDS)
    }

    /** Takes a higher token, which fences off every earlier order, and passes it on; null where the duty is lost. */
    public fun advance(done: (Long?) -> Unit) {
        executor.execute {
            lease.advanced()?.let(::write)
            done(heldToken)
        }
    }

    /** Gives the duty up, so that another VM takes it at once. */
    public fun release() {
        lease.released()?.let(::write)
    }

    private fun look() {
        val renewed = lease.renewed()
        if (renewed != null) write(renewed) else observe(store::readStale)
    }

    /** Looks at the record; before this process takes it over it reads the record as it is now. */
    private fun observe(read: (String) -> Either<StoreFailure, StoredObject?>) {
        val stored = read(key).fold({ return noteChange() }, { it })
        val step = lease.observe(stored?.let(::decode), clock.elapsed())
        if (step is LeaseStep.Write) {
            store.read(key).onRight { current ->
                version = current?.version ?: ObjectVersion.ABSENT
                val confirmed = lease.observe(current?.let(::decode), clock.elapsed())
                if (confirmed is LeaseStep.Write) write(confirmed.record)
            }
        }
        noteChange()
    }

    private fun write(record: DutyRecord) {
        val sentAt = clock.elapsed()
        store.write(key, Json.encodeToString(DutyRecord.serializer(), record), version).fold(
            { failure -> refused(failure) },
            { stored ->
                version = stored.version
                lease.written(record, sentAt)
            },
        )
        noteChange()
    }

    /** A lost answer may have taken effect; then the next write finds its own record under another version. */
    private fun refused(failure: StoreFailure) {
        val current = (failure as? StoreFailure.Conflict)?.current ?: return
        version = current.version
        lease.observe(decode(current), clock.elapsed())
    }

    private fun noteChange() {
        val now = clock.elapsed()
        val value = lease.fencingTokenAt(now)
        token = value?.let { HeldToken(it, lease.heldUntil ?: now) }
        if (holds == (value != null)) return
        holds = value != null
        events.log(if (holds) Event.DUTY_TAKEN else Event.DUTY_LOST, "duty" to key, "token" to value)
    }

    private fun decode(stored: StoredObject): DutyRecord? = try {
        Json.decodeFromString(DutyRecord.serializer(), stored.value)
    } catch (failure: SerializationException) {
        events.log(Event.STORE_UNAVAILABLE, "call" to "read $key", "detail" to "unreadable: ${failure.message}")
        DutyRecord("", 0, 0)
    }

    private data class HeldToken(val value: Long, val until: Duration)

    private companion object {
        /** Time without a renewal after which another VM takes over. */
        val VALIDITY = 3_000.milliseconds

        /** Three renewals fit into the validity. */
        val INTERVAL = 900.milliseconds
    }
}
