package dev.kumquatknot.proxy.interactive

import dev.kumquatknot.core.history.HistoryPoint
import dev.kumquatknot.core.interactive.ConnectionState
import dev.kumquatknot.core.interactive.DiscoveredMember
import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import kotlin.time.Duration

/** How a batch of commands ended. */
internal sealed interface BatchResult {
    /** Each command was answered. */
    data class Answered(val replies: List<MemberReply>) : BatchResult

    /** The connection ended after [replies]. */
    data class Broken(val replies: List<MemberReply>, val end: LinkEnd) : BatchResult
}

/** What a [PooledLink] tells the lane that it belongs to. */
internal interface LinkOwner {
    fun usable(link: PooledLink)

    fun replied(link: PooledLink, command: MemberCommand, sentAt: Duration, reply: MemberReply)

    fun ended(link: PooledLink, end: LinkEnd, opened: Boolean)
}

/** One connection to a member, which runs one batch of commands at a time. */
internal class PooledLink(
    val member: DiscoveredMember,
    private val environment: NodeEnvironment,
    private val owner: LinkOwner,
) : MemberLinkEvents {
    private var link: MemberLink? = null
    private var batch: Batch? = null
    private var openTimer: Cancel? = null

    /** When the opening began. */
    val startedAt: Duration = environment.now()

    /** What the member's end knows of session values and plans. */
    var memory: ConnectionState = ConnectionState()

    /** When it last became idle. */
    var idleSince: Duration = startedAt
        private set

    /** Time from the start of opening to the member's acceptance. */
    var openingTime: Duration? = null
        private set

    /** Whether it ended. */
    var isClosed: Boolean = false
        private set

    /** Whether a batch is under way. */
    val isBusy: Boolean get() = batch != null

    fun open(openLink: OpenMemberLink, timeout: Duration) {
        openTimer = environment.schedule(timeout) { giveUp("no answer to the opening within $timeout") }
        link = openLink(member, this)
    }

    /** Runs [commands] and calls [done] once with their replies, or with what came before the connection ended. */
    fun run(commands: List<MemberCommand>, timeout: Duration, done: (BatchResult) -> Unit) {
        check(batch == null) { "connection to ${member.name} is busy" }
        val next = Batch(commands, environment.now(), done)
        batch = next
        next.timer = environment.schedule(timeout) { giveUp("no answer within $timeout") }
        checkNotNull(link) { "connection to ${member.name} is not open" }.send(commands)
    }

    fun close() {
        if (isClosed) return
        end(LinkEnd.Broken("closed by this VM"))
        link?.close()
    }

    override fun opened(point: HistoryPoint?) {
        openTimer?.invoke()
        openingTime = environment.now() - startedAt
        idleSince = environment.now()
        if (!isClosed) owner.usable(this)
    }

    override fun replied(reply: MemberReply) {
        val current = batch
        if (isClosed) return
        if (current == null) {
            giveUp("a reply to nothing")
            return
        }
        val command = current.commands[current.replies.size]
        current.replies += reply
        owner.replied(this, command, current.sentAt, reply)
        if (current.replies.size < current.commands.size) return
        batch = null
        idleSince = environment.now()
        current.timer?.invoke()
        current.done(BatchResult.Answered(current.replies))
    }

    override fun closed(end: LinkEnd) {
        if (!isClosed) end(end)
    }

    private fun giveUp(detail: String) {
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
        owner.ended(this, end, opened = openingTime != null)
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
