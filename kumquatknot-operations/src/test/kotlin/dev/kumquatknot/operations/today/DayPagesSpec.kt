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
        val report = DayJudge.judge(context)
        val pages =
            TerminalPage.render(report) + "\n" +
                HtmlPage.render(report).replace(Regex("(?s)<style>.*</style>"), "<style/>")
        Approvals.verify(pages, Options().forFile().withBaseName(name))
    }

    @Nested
    inner class `a good day` {
        @Test
        fun `reads as the golden file says`() = verifyPages("good-day", Days.good())
    }

    @Nested
    inner class `a bad day` {
        @Test
        fun `reads as the golden file says`() = verifyPages("bad-day", Days.bad())
    }

    @Nested
    inner class `an unsure day` {
        @Test
        fun `reads as the golden file says`() = verifyPages("unsure-day", Days.unsure())
    }

    @Nested
    inner class `an empty day` {
        @Test
        fun `reads as the golden file says`() = verifyPages("empty-day", Days.empty())
    }

    @Nested
    inner class `a day without the platform` {
        @Test
        fun `is unsure although all figures are good`() {
            val report = DayJudge.judge(Days.good().copy(platformAnswered = false))
            expectThat(report.verdict).isEqualTo(Verdict.UNSURE)
        }
    }

    @Nested
    inner class `names from the answers` {
        @Test
        fun `are escaped`() {
            val context = Days.good()
            val report = DayJudge.judge(context).copy(headline = "<script>")
            expectThat(HtmlPage.render(report)).contains("<h1>&lt;script&gt;</h1>")
        }
    }
}
