package dev.kumquatknot.core.routing

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.history.LogPosition
import dev.kumquatknot.core.history.Term
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds

class LagEstimatorSpec {
    private val estimator = LagEstimator()

    private fun point(position: Long, term: Long = 1) = HistoryPoint(Term(term), LogPosition(position))

    @Test
    fun `interpolates linearly between two points of the primary`() {
        estimator.observePrimary(point(100), 1000.milliseconds)
        estimator.observePrimary(point(200), 1200.milliseconds)
        expectThat(estimator.lag(point(150), 1150.milliseconds)).isEqualTo(50.milliseconds)
    }

    @Test
    fun `does not count time in which the primary wrote nothing`() {
        estimator.observePrimary(point(100), 1000.milliseconds)
        estimator.observePrimary(point(100), 9000.milliseconds)
        estimator.observePrimary(point(101), 9200.milliseconds)
        expectThat(estimator.lag(point(100), 9200.milliseconds)).isEqualTo(200.milliseconds)
    }

    @Test
    fun `of a replica at the newest point is half the time since that point was observed`() {
        estimator.observePrimary(point(100), 1000.milliseconds)
        expectThat(estimator.lag(point(100), 1040.milliseconds)).isEqualTo(20.milliseconds)
    }

    @Test
    fun `is unknown for a replica behind all kept points`() {
        estimator.observePrimary(point(100), 1000.milliseconds)
        expectThat(estimator.lag(point(99), 1000.milliseconds)).isNull()
    }

    @Test
    fun `does not interpolate across a change of term`() {
        estimator.observePrimary(point(100, term = 1), 1000.milliseconds)
        estimator.observePrimary(point(300, term = 2), 1200.milliseconds)
        expectThat(estimator.lag(point(200, term = 1), 1250.milliseconds)).isEqualTo(250.milliseconds)
    }
}
