package dev.kumquatknot.standin.database

import dev.kumquatknot.core.time.Clock
import java.time.Instant
import kotlin.time.Duration

internal class ManualClock : Clock {
    @Volatile
    private var now = Duration.ZERO

    fun advance(time: Duration) {
        now += time
    }

    override fun elapsed(): Duration = now

    override fun instant(): Instant = Instant.EPOCH
}
