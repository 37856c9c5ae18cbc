package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.customer.CustomerName
import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.interactive.ConnectionState
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import kotlin.time.Duration

/** Result of a batch of commands. */
internal sealed interface BatchResult {
    /** All commands were answered. */
    data class Answered(val replies: List<MemberReply>) : BatchResult

    /** The connection ended after [replies]. */
    data class Broken(val replies: List<MemberReply>, val end: LinkEnd) : BatchResult
}

/** Callbacks from a [PooledLink] to the pool that owns it. */
internal interface LinkListener {
    fun linkAccepted(): Unit = Unit

    fun linkOpened(link: PooledLink)

    fun linkReplied(link: PooledLink, command: MemberCommand, sentAt: Duration, reply: MemberReply)

    fun linkEnded(link: PooledLink, end: LinkEnd, opened: Boolean)
}

/** One connection to a member for the statements of [customer], which runs one batch of commands at a time. */
internal class PooledLink(
    val member: DiscoveredMember,
    val customer: CustomerName?,
    private val environment: NodeEnvironment,
    private val owner: LinkListener,
) : MemberLinkEvents {
    private var link: MemberLink? = null
    private var batch: Batch? = null
    private var openTimer: Cancel? = null

    /** Time at which the opening started. */
    val startedAt: Duration = environment.now()

    /** Session values and plans that are set on the member's side of the connection. */
    var memory: ConnectionState = ConnectionState()

    /** Time at which the connection last became idle. */
    var idleSince: Duration = startedAt
        private set

    /** Time from the start of the opening until the member accepted; null before. */
    var openingTime: Duration? = null
        private set

    /** Whether the connection has ended. */
    var isClosed: Boolean = false
        private set

    /** Whether a batch is running. */
    val isBusy: Boolean get() = batch != null

    fun open(openLink: OpenMemberLink, timeout: Duration) {
        openTimer = environment.schedule(timeout) { endBroken("no answer to the opening within $timeout") }
        link = openLink(member, customer, this)
    }

    /** Runs [commands] and calls [done] once with all replies, or with those received before the connection ended. */
    fun run(commands: List<MemberCommand>, timeout: Duration, done: (BatchResult) -> Unit) {
        check(batch == null) { "connection to ${member.name} is busy" }
        val next = Batch(commands, environment.now(), done)
        batch = next
        next.timer = environment.schedule(timeout) { endBroken("no answer within $timeout") }
        checkNotNull(link) { "connection to ${member.name} is not open" }.send(commands)
    }

    fun close() {
        if (isClosed) return
        end(LinkEnd.Broken("closed by this VM"))
        link?.close()
    }

    override fun accepted() {
        if (!isClosed) owner.linkAccepted()
    }

    override fun opened(point: HistoryPoint?) {
        openTimer?.invoke()
        openingTime = environment.now() - startedAt
        idleSince = environment.now()
        if (!isClosed) owner.linkOpened(this)
    }

    override fun replied(reply: MemberReply) {
        val current = batch
        if (isClosed) return
        if (current == null) {
            endBroken("a reply to nothing")
            return
        }
        val command = current.commands[current.replies.size]
        current.replies += reply
        owner.linkReplied(this, command, current.sentAt, reply)
        if (current.replies.size < current.commands.size) return
        batch = null
        idleSince = environment.now()
        current.timer?.invoke()
        current.done(BatchResult.Answered(current.replies))
    }

    override fun closed(end: LinkEnd) {
        if (!isClosed) end(end)
    }

    private fun endBroken(detail: String) {
        if (isClosed) return
        end(LinkEnd.Broken(detail))
        link?.close()
    }

    private fun end(end: LinkEnd) {
        isClosed = true
        openTimer?.invoke()
        val current = batch
        batch = null
        current?.timer?.invoke()
        owner.linkEnded(this, end, opened = openingTime != null)
        current?.done?.invoke(BatchResult.Broken(current.replies, end))
    }

    private class Batch(
        val commands: List<MemberCommand>,
        val sentAt: Duration,
        val done: (BatchResult) -> Unit,
    ) {
        val replies = ArrayList<MemberReply>(commands.size)
        var timer: Cancel? = null
    }
}
