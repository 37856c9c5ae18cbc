package dev.kumquatknot.proxy.pool

import dev.kumquatknot.core.interactive.MemberCommand
import dev.kumquatknot.core.interactive.MemberReply
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class LinkOpenerSpec : LinkListener {
    private val fixture = PoolFixture()
    private val opener = LinkOpener(fixture.environment, this)

    override fun linkOpened(link: PooledLink) = opener.recordOpened(link)

    override fun linkReplied(link: PooledLink, command: MemberCommand, sentAt: Duration, reply: MemberReply) = Unit

    override fun linkEnded(link: PooledLink, end: LinkEnd, opened: Boolean) {
        opener.recordEnd(link)
    }

    private fun open(time: Duration) {
        fixture.member.openingTime = time
        opener.start(opener.create(fixture.member.discovered(leaving = false), customer = null))
    }

    @Test
    fun `the shortest opening is the distance`() {
        listOf(20, 5, 12).forEach {
            open(it.milliseconds)
            fixture.loop.advance(30.milliseconds)
        }
        expectThat(opener.distance).isEqualTo(5.milliseconds)
    }

    @Test
    fun `an opening counts until the member answers or it times out`() {
        fixture.member.unreachable = true
        val startedAt = fixture.loop.elapsed()
        open(5.milliseconds)
        expectThat(opener.openingSince).isEqualTo(startedAt)
        fixture.loop.advance(1_500.milliseconds)
        expectThat(opener.openingSince).isNull()
    }

    @Test
    fun `rejections by a full member delay the next opening longer each time, up to a limit`() {
        val delays = List(6) { opener.recordFull().inWholeMilliseconds }
        expectThat(delays).isEqualTo(listOf(60L, 120L, 180L, 240L, 240L, 240L))
        expectThat(opener.isDelayed).isTrue()
        fixture.loop.advance(240.milliseconds)
        expectThat(opener.isDelayed).isFalse()
    }

    @Test
    fun `the delay starts anew after an opening succeeded`() {
        repeat(3) { opener.recordFull() }
        open(5.milliseconds)
        fixture.loop.advance(10.milliseconds)
        expectThat(opener.recordFull()).isEqualTo(60.milliseconds)
    }
}
