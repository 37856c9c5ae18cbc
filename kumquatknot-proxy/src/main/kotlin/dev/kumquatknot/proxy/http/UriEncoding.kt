package dev.kumquatknot.proxy.http

import java.net.URLEncoder

/** Encodes [text] for a segment of a path or a value in a query; a blank becomes `%20`, which holds in both. */
public fun encodeForUri(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")
