package dev.kumquatknot.standin.platform

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.platform.ListedVm
import dev.kumquatknot.core.time.Clock
import kotlin.time.Duration

/** List of VMs whose changes show after [lag]. */
internal class LaggingVmList(initial: List<ListedVm>, private val lag: Duration, private val clock: Clock) {
    private class Change(val shownAt: Duration, val name: VmName, val vm: ListedVm?)

    private val shown = initial.associateByTo(sortedMapOf()) { it.name }
    private val hidden = ArrayDeque<Change>()

    @Synchronized
    fun put(vm: ListedVm) = hidden.addLast(Change(clock.elapsed() + lag, vm.name, vm))

    @Synchronized
    fun remove(name: VmName) = hidden.addLast(Change(clock.elapsed() + lag, name, null))

    @Synchronized
    fun list(): List<ListedVm> {
        while (hidden.isNotEmpty() && hidden.first().shownAt <= clock.elapsed()) show(hidden.removeFirst())
        return shown.values.toList()
    }

    private fun show(change: Change) {
        if (change.vm == null) shown -= change.name else shown[change.name] = change.vm
    }
}
