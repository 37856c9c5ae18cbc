package dev.kumquatknot.operations.today

import arrow.core.getOrElse
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.time.Clock

/**
 * Page on the current day: reads the figures from the platform, evaluates and renders them.
 *
 * Each page makes one call to the platform. While the platform does not answer, the page shows the figures of this
 * node alone and says so.
 *
 * @param own counts of this node; null in a process that serves no requests.
 * @param liveVms the VMs whose figures are expected.
 */
public class TodayPage(
    private val store: SummaryStore,
    private val own: DayRecorder?,
    private val clock: Clock,
    private val configuration: () -> FleetConfiguration,
    private val liveVms: () -> Set<VmName>,
) {
    /** Returns the page as HTML. */
    public fun html(): String = HtmlPage.render(report())

    /** Returns the page as text for a terminal. */
    public fun text(): String = TerminalPage.render(report())

    /** Returns the report that both renderings of the page show. */
    public fun report(): DayReport {
        val now = clock.instant()
        val date = DayRecorder.dateOf(now)
        val live = liveVms()
        val ownDay = FleetDay.of(own?.summaries().orEmpty().filter { it.date == date })
        val read = store.read(date, live.size, ownDay)
        return DayEvaluator.evaluate(
            DayContext(
                date,
                now,
                configuration(),
                read.getOrElse { ownDay.totals() },
                live,
                SummarySchedule.staleAfter(live.size),
                platformAnswered = read.isRight(),
            ),
        )
    }
}
