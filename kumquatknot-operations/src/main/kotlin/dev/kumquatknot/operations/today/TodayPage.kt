package dev.kumquatknot.operations.today

import arrow.core.getOrElse
import dev.kumquatknot.core.configuration.FleetConfiguration
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.time.Clock

/**
 * Today's page: reads the day's figures from the platform, judges them and lays them out.
 *
 * Makes one call to the platform for each page. While the platform does not answer, the page shows the figures of this
 * node alone and says so.
 *
 * @param own counts of this node; null where the page is made by a program that serves nothing.
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

    /** Returns the report that the pages lay out. */
    public fun report(): DayReport {
        val now = clock.instant()
        val date = DayRecorder.dateOf(now)
        val live = liveVms()
        val ownDay = FleetDay.of(own?.summaries().orEmpty().filter { it.date == date })
        val read = store.read(date, live.size, ownDay)
        return DayJudge.judge(
            DayContext(
                date,
                now,
                configuration(),
                read.getOrElse { ownDay.totals() },
                live,
                SummaryPace.staleAfter(live.size),
                platformAnswered = read.isRight(),
            ),
        )
    }
}
