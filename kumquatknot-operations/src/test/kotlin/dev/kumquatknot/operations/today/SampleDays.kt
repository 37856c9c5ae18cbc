package dev.kumquatknot.operations.today

import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.KindName
import dev.kumquatknot.core.identity.TeamName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.outcome.FailureReason
import dev.kumquatknot.operations.questionnaire.AnswerFolder
import dev.kumquatknot.operations.questionnaire.ConfigurationGenerator
import java.nio.file.Path
import java.time.Instant
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sample input for the evaluation of a day, configured as the example deployment Pesebre Unido. */
internal object SampleDays {
    const val DATE = "2027-12-04"
    val now: Instant = Instant.parse("2027-12-04T18:30:00Z")
    val configuration =
        ConfigurationGenerator.generate(
            checkNotNull(AnswerFolder(Path.of("../examples/pesebre-unido")).read().getOrNull()),
        )
    private val vms = listOf("entry-1", "entry-2", "entry-3").map(::VmName)
    private val failover = FailoverFigures(DatabaseName("inventory-2"), 5, 2_300, now.minusSeconds(3600).toEpochMilli())

    fun kind(team: String, kind: String, figures: KindStatistics): KindEntry =
        KindEntry(KindIdentity(TeamName(team), KindName(kind)), figures)

    fun summary(vm: String, kinds: List<KindEntry>, sequence: Long = 1, age: Long = 10): DaySummary =
        DaySummary(
            SummarySource(VmName(vm), now.minusSeconds(36_000).toEpochMilli()),
            DATE,
            sequence,
            now.minusSeconds(age).toEpochMilli(),
            kinds,
        )

    fun served(count: Int, within: Int, fastest: Int = 20, slowest: Int = 220): KindStatistics =
        KindStatistics(
            completed = count.toLong(),
            withinTarget = within.toLong(),
            latencies = LatencyHistogram.of(
                (0 until count).map {
                    (fastest + it * (slowest - fastest) / count).milliseconds
                },
            ),
        )

    private val goodKinds = listOf(
        kind("counter", "book-costume", served(1204, 1204).copy(checks = CheckFigures(kept = 300))),
        kind("counter", "charge-deposit", served(310, 310).copy(repeated = 12)),
        kind("counter", "look-up-booking", served(2400, 2400).copy(primaryReads = 300, replicaReads = 2100)),
        kind("parishes", "browse-catalogue", served(9000, 8990, 5, 900).copy(primaryReads = 90, replicaReads = 8910)),
        kind("warehouse", "mark-for-cleaning", served(800, 800)),
    )

    private fun context(summaries: List<DaySummary>, failovers: List<FailoverFigures> = emptyList()): DayContext =
        DayContext(
            DATE,
            now,
            configuration,
            FleetDay.of(summaries).totals().copy(failovers = failovers),
            vms.toSet(),
            staleAfter = 80.seconds,
        )

    fun good(): DayContext = context(vms.map { summary(it.value, goodKinds) }, listOf(failover))

    fun bad(): DayContext =
        context(
            vms.map { vm ->
                summary(
                    vm.value,
                    listOf(
                        kind("counter", "book-costume", served(1204, 1100, 20, 700).copy(notRun = 3)),
                        kind(
                            "counter",
                            "charge-deposit",
                            served(310, 310).copy(checks = CheckFigures(kept = 3, doubled = 1)),
                        ),
                        kind(
                            "parishes",
                            "browse-catalogue",
                            served(4000, 4000, 5, 900).copy(
                                notRun = 2000,
                                refusals = mapOf(
                                    FailureReason.OVERLOADED to 1500,
                                    FailureReason.NOT_FRESH_ENOUGH to 500,
                                ),
                                primaryReads = 2000,
                                replicaReads = 2000,
                            ),
                        ),
                        kind("warehouse", "mark-for-cleaning", served(100, 100).copy(callerFaults = 40)),
                    ),
                )
            },
            listOf(failover.copy(gapMillis = 14_000)),
        )

    fun unsure(): DayContext =
        context(
            listOf(
                summary("entry-1", goodKinds),
                summary("entry-2", goodKinds, age = 900),
                summary(
                    "entry-0",
                    listOf(
                        kind(
                            "counter",
                            "charge-deposit",
                            served(10, 10).copy(unknownKeys = setOf("a1", "b2"), settledKeys = setOf("b2")),
                        ),
                        kind("counter", "retired-kind", served(3, 3)),
                    ),
                    age = 7_200,
                ),
            ),
        )

    fun empty(): DayContext = context(vms.map { summary(it.value, emptyList()) })
}
