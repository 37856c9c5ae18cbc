package dev.kumquatknot.proxy.http

/**
 * Finds arrays and objects that are nested too deeply in JSON text, without the recursion that a parser or a formatter
 * needs for them.
 */
public object NestingLimit {
    /** Far deeper than the documents that VMs read from the store, and shallow enough for a stack of 256 KiB. */
    public const val MAXIMUM_DEPTH: Int = 32

    /** Returns whether [text] nests deeper than [maximumDepth]. */
    public fun isExceeded(text: String, maximumDepth: Int): Boolean {
        scan(text, maximumDepth) { _, _ -> return true }
        return false
    }

    /**
     * Returns [text] with `null` in place of each array and object that is nested deeper than [MAXIMUM_DEPTH], so that
     * a value of one writer does not keep others from being read.
     */
    public fun apply(text: String): String {
        var kept: StringBuilder? = null
        var copied = 0
        scan(text, MAXIMUM_DEPTH) { start, end ->
            val target = kept ?: StringBuilder().also { kept = it }
            target.append(text, copied, start).append("null")
            copied = end
        }
        return kept?.append(text, copied, text.length)?.toString() ?: text
    }

    /** Calls [onTooDeep] with the bounds of each outermost value that is too deep; the last one may have no end. */
    private inline fun scan(text: String, maximumDepth: Int, onTooDeep: (start: Int, end: Int) -> Unit) {
        var depth = 0
        var start = 0
        var index = 0
        while (index < text.length) {
            when (text[index]) {
                '"' -> index = endOfString(text, index)
                '[', '{' -> if (++depth == maximumDepth + 1) start = index
                ']', '}' -> if (depth-- == maximumDepth + 1) onTooDeep(start, index + 1)
            }
            index++
        }
        if (depth > maximumDepth) onTooDeep(start, text.length)
    }

    /** Returns the index of the quotation mark that ends the string from [start] on; past [text] if there is none. */
    private fun endOfString(text: String, start: Int): Int {
        var index = start + 1
        while (index < text.length && text[index] != '"') index += if (text[index] == '\\') 2 else 1
        return index
    }
}
