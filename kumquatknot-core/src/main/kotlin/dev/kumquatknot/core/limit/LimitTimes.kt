package dev.kumquatknot.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Intervals of the exchange between VMs and limiters. */
internal object LimitTimes {
    /** Interval of reports to each limiter; one of them may get lost without a gap of the delegation. */
    val REPORT_INTERVAL: Duration = 600.milliseconds

    /** Age of a stamp up to which it is echoed; an older one would be a delegation of less than half a second. */
    val LONGEST_ECHO_AGE: Duration = 1_500.milliseconds

    /** Time after which a request counts as unanswered: a round trip between regions takes 16 ms. */
    val REQUEST_TIMEOUT: Duration = 40.milliseconds

    /**
     * Time for which a limiter that leaves requests unanswered is asked again where no other one answers: a VM that
     * used up its share of the processor pauses for some 100 ms.
     */
    val LONGEST_SILENCE: Duration = 1.seconds

    /** Time after which a limiter without tokens is asked again. */
    val PAUSE: Duration = 100.milliseconds

    /** Time before the end of their life at which unused tokens are returned: the way to a limiter, and a margin. */
    val RETURN_BEFORE_LAPSE: Duration = 100.milliseconds

    /** Time after which the number of VMs counts for a new VM: until then, it may lack VMs that started together. */
    val COUNT_SETTLING: Duration = 4.seconds

    /** Number of VMs that is assumed until it is known: the largest fleet. */
    const val LARGEST_FLEET: Int = 300
}
