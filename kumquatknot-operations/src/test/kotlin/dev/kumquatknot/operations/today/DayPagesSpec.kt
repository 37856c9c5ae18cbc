package dev.kumquatknot.operations.today

import org.approvaltests.Approvals
import org.approvaltests.core.Options
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

class DayPagesSpec {
    private fun verifyPages(name: String, context: DayContext) {
        val report = DayEvaluator.evaluate(context)
        val pages =
            TerminalPage.render(report) + "\n" +
                HtmlPage.render(report).replace(Regex("(?s)<style>.*</style>"), "<style/>")
        Approvals.verify(pages, Options().forFile().withBaseName(name))
    }

    @Nested
    inner class `a good day` {
        @Test
        fun `matches the approved file`() = verifyPages("good-day", SampleDays.good())
    }

    @Nested
    inner class `a bad day` {
        @Test
        fun `matches the approved file`() = verifyPages("bad-day", SampleDays.bad())
    }

    @Nested
    inner class `an unsure day` {
        @Test
        fun `matches the approved file`() = verifyPages("unsure-day", SampleDays.unsure())
    }

    @Nested
    inner class `an empty day` {
        @Test
        fun `matches the approved file`() = verifyPages("empty-day", SampleDays.empty())
    }

    @Nested
    inner class `a day without the platform` {
        @Test
        fun `is unsure even if all figures are good`() {
            val report = DayEvaluator.evaluate(SampleDays.good().copy(platformAnswered = false))
            expectThat(report.verdict).isEqualTo(Verdict.UNSURE)
        }
    }

    @Nested
    inner class `texts in the HTML page` {
        @Test
        fun `are escaped`() {
            val context = SampleDays.good()
            val report = DayEvaluator.evaluate(context).copy(headline = "<script>")
            expectThat(HtmlPage.render(report)).contains("<h1>&lt;script&gt;</h1>")
        }
    }
}
