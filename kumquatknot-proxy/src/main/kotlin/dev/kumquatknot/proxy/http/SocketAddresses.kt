package dev.kumquatknot.proxy.http

import io.netty.util.NetUtil
import java.net.InetAddress
import java.net.InetSocketAddress

/**
 * Returns the address that [text] gives as an IP number and a port from 1 to 65535, such as `10.0.0.7:5432`, or null.
 * Names are not looked up, which would block the calling thread.
 */
public fun parseSocketAddress(text: String): InetSocketAddress? {
    val host = text.substringBeforeLast(':', "").takeIf { it.isNotEmpty() } ?: return null
    val number = NetUtil.createByteArrayFromIpAddressString(host)
    val port = text.substringAfterLast(':').toIntOrNull()?.takeIf { it in 1..MAXIMUM_PORT }
    return if (number == null || port == null) null else InetSocketAddress(InetAddress.getByAddress(number), port)
}

private const val MAXIMUM_PORT = 65_535
