package dev.kumquatknot.operations.configuration

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class SessionKeyStoreSpec {
    private val store = FaultInjectingStore()
    private var generatedKeys = 0
    private val keys =
        SessionKeyStore(store) { size -> ByteArray(size) { generatedKeys.toByte() }.also { generatedKeys++ } }

    @Nested
    inner class `without stored keys` {
        @Test
        fun `creates the first keys`() {
            expectThat(keys.ensure().getOrNull()).isNotNull().get { number }.isEqualTo(1)
        }

        @Test
        fun `returns the keys that another operator creates concurrently`() {
            store.beforeWrite = { SessionKeyStore(store) { ByteArray(it) { 9 } }.ensure() }
            val other = SessionKeyStore(store) { ByteArray(it) { 9 } }
            expectThat(keys.ensure().getOrNull()).isEqualTo(other.read().getOrNull())
        }

        @Test
        fun `resolves a lost answer by reading back`() {
            store.faults += WriteFault.LOST_AFTER
            expectThat(keys.ensure().getOrNull()).isEqualTo(keys.read().getOrNull())
        }
    }

    @Nested
    inner class `with stored keys` {
        private val first = checkNotNull(keys.ensure().getOrNull())

        @Test
        fun `never overwrites them`() {
            expectThat(keys.ensure().getOrNull()).isEqualTo(first)
            expectThat(first.previous).isNull()
        }

        @Test
        fun `keeps the previous key when it rotates`() {
            val rotated = checkNotNull(keys.rotate().getOrNull())
            expectThat(rotated.number).isEqualTo(2)
            expectThat(rotated.previous).isEqualTo(first.current)
        }

        @Test
        fun `fails when another operator rotates concurrently`() {
            store.beforeWrite = { SessionKeyStore(store).rotate() }
            expectThat(keys.rotate().leftOrNull()).isNotNull()
            expectThat(keys.read().getOrNull()?.number).isEqualTo(2)
        }

        @Test
        fun `omits them from toString`() {
            expectThat(first.toString()).isEqualTo("SessionKeys(number=1)")
        }
    }
}
