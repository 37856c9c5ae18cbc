package dev.kumquatknot.proxy.distribution

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.kumquatknot.core.configuration.ConfigurationHolder
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.platform.ObjectStore
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.peer.PeerPort
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.lang.reflect.Proxy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class ConfigurationUpdaterSpec {
    private val holder = ConfigurationHolder()
    private var now = Duration.ZERO

    /** Answers no call that is sent before [silentUntil], nor a watch that is waiting at that time. */
    private inner class SilentStore(private val silentUntil: Duration) : ObjectStore {
        private val stored = FleetConfiguration.EMPTY.copy(number = 2).let { configuration ->
            val text = Json.encodeToString(FleetConfiguration.serializer(), configuration)
            StoredObject(FleetConfiguration.STORE_KEY, ObjectVersion(7), text)
        }

        override val era = StoreEra.UNKNOWN

        override fun read(key: String) = answer(Duration.ZERO)

        override fun watch(key: String, known: ObjectVersion, timeout: Duration) = answer(timeout)

        private fun answer(wait: Duration): Either<StoreFailure, StoredObject?> {
            if (now >= silentUntil) return stored.right()
            now += wait + ObjectStore.CALL_TIMEOUT
            return StoreFailure.NoAnswer("no answer").left()
        }

        override fun readAll(prefix: String) = error("not used")

        override fun write(key: String, value: String, expected: ObjectVersion) = error("not used")

        override fun vms(): Either<StoreFailure, List<ListedVm>> = error("not used")
    }

    private fun updater(store: ObjectStore): ConfigurationUpdater {
        val peers = Proxy.newProxyInstance(javaClass.classLoader, arrayOf(PeerPort::class.java)) { _, _, _ -> null }
        return ConfigurationUpdater(holder, store, peers as PeerPort, EventLog()) {}
    }

    @Nested
    inner class `a configuration that is written as a silent store answers again` {
        @Test
        fun `is in force within 15 s, whatever call was sent into the outage`() {
            for (tenths in 0..MAXIMUM_OUTAGE_TENTHS) {
                val silentUntil = tenths.seconds / 10
                now = Duration.ZERO
                val updater = updater(SilentStore(silentUntil))
                while (!updater.watchStore()) now += updater.retryDelay
                expectThat(holder.current.number).isEqualTo(2)
                expectThat(now - silentUntil).isLessThanOrEqualTo(15.seconds)
            }
        }
    }

    private companion object {
        const val MAXIMUM_OUTAGE_TENTHS = 600
    }
}
