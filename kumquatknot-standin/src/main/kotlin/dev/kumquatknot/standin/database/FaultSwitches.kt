package dev.kumquatknot.standin.database

import dev.kumquatknot.core.identity.VmName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The fault switches of one member. Their lock is acquired last: no other lock is acquired while it is held. */
internal class FaultSwitches(lag: Duration) {
    private var isolatedVms: Set<VmName>? = emptySet()
    private var isolatedFromMembers = false
    private var stopped = false
    private var answerDelay = Duration.ZERO
    private var commitAnswersToLose = 0
    private var slowness = 1.0
    private var lag = lag
    private var lastTransport = 0L
    private var silencedThrough = 0L

    val running: Boolean @Synchronized get() = !stopped
    val replicationLag: Duration @Synchronized get() = lag
    val delay: Duration @Synchronized get() = answerDelay
    val slownessFactor: Double @Synchronized get() = slowness

    /** Whether members can exchange log entries with this one. */
    val reachableByMembers: Boolean @Synchronized get() = !stopped && !isolatedFromMembers

    @Synchronized
    fun set(fault: MemberFault) {
        when (fault) {
            is MemberFault.IsolateFromVms -> isolatedVms = fault.vms
            MemberFault.IsolateFromMembers -> isolatedFromMembers = true
            MemberFault.Stop -> stopped = true
            MemberFault.Start -> stopped = false
            MemberFault.SilenceConnections -> silencedThrough = lastTransport
            is MemberFault.DelayAnswers -> answerDelay = fault.millis.milliseconds
            is MemberFault.LoseCommitAnswers -> commitAnswersToLose = fault.count
            is MemberFault.SlowDown -> slowness = fault.factor
            is MemberFault.SetReplicationLag -> lag = fault.millis.milliseconds
            MemberFault.Heal -> heal()
        }
    }

    /**
     * Returns the number of a new transport (one network connection). [MemberFault.SilenceConnections] affects the
     * transports numbered before it is set.
     */
    @Synchronized
    fun nextTransport(): Long = ++lastTransport

    @Synchronized
    fun isolates(vm: VmName): Boolean = isolatedVms?.contains(vm) ?: true

    @Synchronized
    fun silences(transport: Long): Boolean = transport <= silencedThrough

    @Synchronized
    fun consumeLostCommitAnswer(): Boolean {
        if (commitAnswersToLose == 0) return false
        commitAnswersToLose--
        return true
    }

    private fun heal() {
        isolatedVms = emptySet()
        isolatedFromMembers = false
        answerDelay = Duration.ZERO
        commitAnswersToLose = 0
        slowness = 1.0
    }
}
