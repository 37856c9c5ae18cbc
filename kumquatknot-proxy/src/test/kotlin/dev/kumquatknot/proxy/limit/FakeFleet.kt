package dev.kumquatknot.proxy.limit

import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.proxy.fleet.PeerListener
import dev.kumquatknot.proxy.fleet.PeerMessage
import dev.kumquatknot.proxy.fleet.PeerNetwork
import dev.kumquatknot.proxy.interactive.VirtualLoop
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlinx.serialization.protobuf.ProtoBuf
import kotlin.time.Duration.Companion.milliseconds

/** The links between VMs in memory; a message is encoded, and takes a millisecond. */
@OptIn(ExperimentalSerializationApi::class)
internal class FakeFleet(private val loop: VirtualLoop) {
    private val listeners = HashMap<VmName, PeerListener>()

    /** All messages that were sent, with their sender. */
    val sent = ArrayList<Pair<VmName, PeerMessage>>()

    /** VMs that cannot be reached. */
    val lost = HashSet<VmName>()

    inner class Links(private val self: VmName) : PeerNetwork {
        override fun send(vm: VmName, message: PeerMessage): Boolean {
            if (vm in lost || self in lost) return false
            sent += self to message
            val bytes = ProtoBuf.encodeToByteArray(message)
            loop.schedule(1.milliseconds) { listeners[vm]?.received(self, ProtoBuf.decodeFromByteArray(bytes)) }
            return true
        }

        override fun addListener(listener: PeerListener) {
            listeners[self] = listener
        }
    }
}
