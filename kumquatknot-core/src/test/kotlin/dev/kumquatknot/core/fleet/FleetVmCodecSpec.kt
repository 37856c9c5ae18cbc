package dev.kumquatknot.core.fleet

import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.VmName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class FleetVmCodecSpec {
    private val name = VmName("front-1")
    private val vm = FleetVm(name, -7, "10.1.0.8:9000", DataCentre("a"), 0.36, leaving = true)

    @Test
    fun `a registration is read as it was written`() {
        expectThat(FleetVmCodec.decode(name, FleetVmCodec.encode(vm))).isEqualTo(vm)
    }

    @Test
    fun `fields of a later build are ignored`() {
        val value = """{"address":"10.1.0.8:9000","dataCentre":"a","cores":1.5,"run":3,"zone":{"x":[1]}}"""
        expectThat(FleetVmCodec.decode(name, value).isReachable).isTrue()
    }

    @Test
    fun `an empty or unreadable value of another build registers a VM that is never a home VM`() {
        val values = listOf("", " ", "null", "[]", "7", "yes", "{\"cores\":", """{"cores":"many"}""", """{"run":1.5}""")
        values.forEach { expectThat(FleetVmCodec.decode(name, it)).isEqualTo(FleetVm(name)) }
    }

    @Test
    fun `a VM without a usable address, data centre or cores is never a home VM`() {
        val values = listOf(
            """{"dataCentre":"a","cores":1}""",
            """{"address":"here","dataCentre":"a","cores":1}""",
            """{"address":"10.1.0.8:9000","cores":1}""",
            """{"address":"10.1.0.8:9000","dataCentre":"","cores":1}""",
            """{"address":"10.1.0.8:9000","dataCentre":"a"}""",
            """{"address":"10.1.0.8:9000","dataCentre":"a","cores":-1}""",
            """{"address":"10.1.0.8:9000","dataCentre":null,"cores":1}""",
        )
        values.forEach { expectThat(FleetVmCodec.decode(name, it).isReachable).isFalse() }
    }
}
