package dev.kumquatknot.proxy.interactive

import arrow.core.Either
import dev.kumquatknot.core.duty.DutyLease
import dev.kumquatknot.core.duty.DutyRecord
import dev.kumquatknot.core.duty.LeaseStep
import dev.kumquatknot.core.duty.ObservationSchedule
import dev.kumquatknot.core.platform.ConditionalStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
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
import kotlin.time.Duration.Companion.seconds

/**
 * Acquires and renews the lease of one duty in the platform's store. Its store calls block the [executor], which must
 * have one thread.
 *
 * @param duty key of the duty's records in the store; each era of the store has a record of its own.
 * @param candidateRank position of this VM among those of its region that compete for the duty; from
 * [ObservationSchedule.CANDIDATES] on, it reads the record seldom while another VM holds the duty.
 * @param onChange called on the executor's thread after this VM acquired or lost the duty.
 */
public class DutyLeaseRenewer(
    private val duty: String,
    self: String,
    private val store: ConditionalStore,
    private val executor: ScheduledExecutorService,
    private val clock: Clock,
    private val events: EventLog,
    private val candidateRank: () -> Int = { 0 },
    private val onChange: () -> Unit = {},
) {
    private val lease = DutyLease(self, LEASE_DURATION)
    private val schedule = ObservationSchedule(RENEWAL_INTERVAL, LEASE_DURATION, RESERVE_INTERVAL)
    private var version = ObjectVersion.ABSENT
    private var wasHeld = false
    private var isReleased = false

    @Volatile
    private var token: HeldToken? = null

    /** The fencing token while this process holds the lease; null otherwise. */
    public val heldToken: Long? get() = token?.takeIf { clock.elapsed() < it.until }?.value

    /** Starts the periodic renewal or acquisition of the lease. */
    public fun start() {
        scheduleStep(Duration.ZERO)
    }

    private fun scheduleStep(delay: Duration) {
        executor.schedule(::step, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun step() {
        events.runStep("renew $duty", ::renewOrObserve)
        val isActive = lease.renewedRecord() != null
        scheduleStep(schedule.delayAfter(candidateRank(), isActive, lease.latestRecord, clock.elapsed()))
    }

    /**
     * Writes a higher fencing token, which invalidates all earlier orders; [done] gets it, or null if the lease is
     * lost.
     */
    public fun advanceToken(done: (Long?) -> Unit) {
        executor.execute {
            lease.advancedRecord()?.let(::write)
            done(heldToken)
        }
    }

    /** Releases the lease for good, so that another VM can acquire it at once and this one does not do so again. */
    public fun release() {
        isReleased = true
        lease.releasedRecord()?.let(::write)
    }

    private val key: String get() = if (lease.era == StoreEra.UNKNOWN) duty else "$duty-${lease.era}"

    private fun renewOrObserve() {
        if (isReleased) return
        enterCurrentEra()
        val renewed = lease.renewedRecord()
        if (renewed != null) write(renewed) else observeRecord(store::readStale)
    }

    /** Observes the record with [read]; before it acquires the lease, it confirms this by a consistent read. */
    private fun observeRecord(read: (String) -> Either<StoreFailure, StoredObject?>) {
        val stored = read(key).fold({ return updateHeldToken() }, { it })
        if (enterCurrentEra()) return updateHeldToken()
        val step = lease.observe(stored?.let(::decode), clock.elapsed(), isStale = true)
        if (step is LeaseStep.Write) store.read(key).onRight(::acquire)
        updateHeldToken()
    }

    private fun acquire(current: StoredObject?) {
        if (enterCurrentEra()) return
        version = current?.version ?: ObjectVersion.ABSENT
        val confirmed = lease.observe(current?.let(::decode), clock.elapsed())
        if (confirmed is LeaseStep.Write) write(confirmed.record)
    }

    /** Returns whether the store has entered another era, in which nothing that was read or written before counts. */
    private fun enterCurrentEra(): Boolean {
        val current = store.era
        if (current == lease.era) return false
        lease.enterEra(current)
        version = ObjectVersion.ABSENT
        return true
    }

    private fun write(record: DutyRecord) {
        val sentAt = clock.elapsed()
        store.write(key, Json.encodeToString(DutyRecord.serializer(), record), version).fold(
            { failure -> if (!enterCurrentEra()) handleWriteFailure(failure) },
            { stored ->
                if (!enterCurrentEra()) {
                    version = stored.version
                    lease.recordWrite(record, sentAt)
                }
            },
        )
        updateHeldToken()
    }

    /**
     * A write without an answer may have taken effect; the next write then conflicts with this process's own record.
     */
    private fun handleWriteFailure(failure: StoreFailure) {
        val current = (failure as? StoreFailure.Conflict)?.current ?: return
        version = current.version
        lease.observe(decode(current), clock.elapsed())
    }

    private fun updateHeldToken() {
        val now = clock.elapsed()
        val value = lease.fencingTokenAt(now)
        token = value?.let { HeldToken(it, lease.heldUntil ?: now) }
        if (wasHeld == (value != null)) return
        wasHeld = value != null
        events.log(
            if (wasHeld) Event.DUTY_TAKEN else Event.DUTY_LOST,
            "duty" to duty,
            "token" to value,
            "era" to lease.era.value,
        )
        onChange()
    }

    private fun decode(stored: StoredObject): DutyRecord? = try {
        Json.decodeFromString(DutyRecord.serializer(), stored.value)
    } catch (failure: SerializationException) {
        events.log(Event.STORE_UNAVAILABLE, "call" to "read $key", "detail" to "unreadable: ${failure.message}")
        DutyRecord("", 0, 0)
    }

    private data class HeldToken(val value: Long, val until: Duration)

    private companion object {
        /** Time without a renewal after which another VM may acquire the lease. */
        val LEASE_DURATION = 3_000.milliseconds

        /** Three renewals fit into [LEASE_DURATION]. */
        val RENEWAL_INTERVAL = 900.milliseconds

        /** Each read has a price, and a failover may wait this long in the rare case that all candidates are lost. */
        val RESERVE_INTERVAL = 5.seconds
    }
}
