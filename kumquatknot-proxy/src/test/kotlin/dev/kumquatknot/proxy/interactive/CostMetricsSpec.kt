package dev.kumquatknot.proxy.interactive

import arrow.core.Either
import arrow.core.right
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.Region
import dev.kumquatknot.core.interactive.InteractiveConfiguration
import dev.kumquatknot.core.platform.ConditionalStore
import dev.kumquatknot.core.platform.ObjectSnapshot
import dev.kumquatknot.core.platform.ObjectVersion
import dev.kumquatknot.core.platform.StoreEra
import dev.kumquatknot.core.platform.StoreFailure
import dev.kumquatknot.core.platform.StoredObject
import dev.kumquatknot.core.platform.WatchResult
import dev.kumquatknot.core.platform.WatchableObjects
import dev.kumquatknot.proxy.event.EventLog
import dev.kumquatknot.proxy.metric.CountedStore
import dev.kumquatknot.proxy.metric.InteractiveMetrics
import dev.kumquatknot.proxy.metric.StorePurpose
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Operators tell from these counters which VM costs what; a call that is not counted would be missing on the bill. */
class CostMetricsSpec {
    private val metrics = InteractiveMetrics()
    private val contents = RestorableStore(Random(1))
    private val store = object : ConditionalStore, WatchableObjects {
        override val era: StoreEra get() = contents.era

        override fun read(key: String) = contents.read(key).right()

        override fun readStale(key: String) = contents.read("stale/$key").right()

        override fun write(key: String, value: String, expected: ObjectVersion) = contents.write(key, value, expected)

        override fun snapshot(kind: String): Either<StoreFailure, ObjectSnapshot> =
            ObjectSnapshot(contents.list(kind), 1, era).right()

        override fun changes(kind: String, revision: Long, timeout: Duration): Either<StoreFailure, WatchResult> =
            WatchResult.RevisionCompacted.right()
    }

    private fun value(series: String) =
        metrics.exposition().lines().firstOrNull { it.startsWith(series) }?.substringAfterLast(' ')?.toDouble()

    @Test
    fun `calls to the store are counted by purpose and kind, and passed on`() {
        val counted = CountedStore(store, store, StorePurpose.DUTY, metrics)
        counted.write("duties/a", "x", ObjectVersion.ABSENT)
        expectThat(counted.read("duties/a").getOrNull()).isNotNull().get(StoredObject::value).isEqualTo("x")
        counted.readStale("duties/a")
        counted.snapshot("duties")
        expectThat(counted.changes("duties", 1, 1.seconds)).isEqualTo(WatchResult.RevisionCompacted.right())
        expectThat(counted.era).isEqualTo(store.era)
        listOf("read", "stale_read", "write", "list", "watch").forEach { call ->
            expectThat(value("kumquatknot_store_calls_total{call=\"$call\",purpose=\"duty\"}")).isEqualTo(1.0)
        }
    }

    @Test
    fun `polls and opened connections of a VM at rest are counted`() {
        val loop = VirtualLoop()
        val group = FakeGroup(loop)
        val place = VmPlace(DataCentre("a"), mapOf(DataCentre("a") to Region("r")))
        val node = InteractiveNode(place, InteractivePorts(loop, loop::schedule, group::open, EventLog(), metrics))
        node.configure(InteractiveConfiguration(1, emptyMap(), mapOf(FakeGroup.NAME to 20), 3.seconds))
        node.updateMembers(group.discovered())
        node.start()
        loop.advance(20.seconds)
        val opened = group.members.sumOf { it.opened }.toDouble()
        expectThat(value("kumquatknot_member_connections_opened_total{reason=\"rest\"}")).isEqualTo(opened)
        expectThat(metrics.exposition()).contains("kumquatknot_member_polls_total{purpose=\"proof\"}")
    }
}
