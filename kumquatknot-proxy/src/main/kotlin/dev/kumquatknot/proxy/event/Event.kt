package dev.kumquatknot.proxy.event

import io.github.oshai.kotlinlogging.Level

/**
 * Catalogue of the events that a node logs, as listed in `docs/EVENTS.md`. The number of an event is never reused.
 *
 * @property number identifier of the event, stable across versions; the hundreds digit is the topic.
 * @property text message without variable parts, which are separate fields of the log line.
 */
public enum class Event(public val number: Int, public val level: Level, public val text: String) {
    NODE_STARTED(100, Level.INFO, "The node has started"),
    NODE_STOPPING(101, Level.INFO, "The node is stopping and takes no new work"),
    NODE_STOPPED(102, Level.INFO, "The node has stopped"),
    NODE_STOP_FORCED(103, Level.WARN, "The time for a graceful stop has passed with requests in flight"),
    SETTINGS_RELOADED(104, Level.INFO, "The settings were read again"),
    SETTINGS_REFUSED(105, Level.WARN, "The settings could not be read again; those in force stay"),
    CONFIGURATION_ACCEPTED(200, Level.INFO, "A configuration is in force"),
    CONFIGURATION_REFUSED(201, Level.WARN, "A configuration was refused; the last one stays in force"),
    STORE_UNAVAILABLE(210, Level.WARN, "The platform's object API does not answer"),
    STORE_AVAILABLE(211, Level.INFO, "The platform's object API answers again"),
    STORE_ERA_CHANGED(212, Level.WARN, "The store came back from a copy; what was written since is gone"),
    STORE_ERA_INVALID(213, Level.WARN, "A response of the store named no usable era; the last one stays in force"),
    PEER_LOST(220, Level.WARN, "Another VM does not answer"),
    PEER_FOUND(221, Level.INFO, "Another VM answers"),
    VM_LEAVING(222, Level.INFO, "A VM is leaving and gets no new work"),
    PEER_MESSAGE_INVALID(223, Level.WARN, "A message of another VM could not be read; its link was closed"),
    FORWARDED_ANSWER_DROPPED(224, Level.INFO, "A forwarded statement ended after the VM that sent it was lost"),
    VM_ENTRY_REFUSED(225, Level.WARN, "An entry of the list of VMs could not be read and names no VM"),
    PRIMARY_LOST(300, Level.WARN, "A primary does not answer or is no longer followed by a majority"),
    PROMOTION_STARTED(301, Level.INFO, "A promotion has started"),
    PROMOTION_WON(302, Level.INFO, "A promotion has succeeded; the group has a new primary"),
    PROMOTION_LOST(303, Level.INFO, "A promotion has ended without effect"),
    MEMBER_UNREACHABLE(310, Level.WARN, "A member does not answer"),
    MEMBER_REACHABLE(311, Level.INFO, "A member answers again"),
    GATEWAY_TAKEN(320, Level.INFO, "This VM now holds the connections of a member"),
    GATEWAY_GIVEN_UP(321, Level.INFO, "This VM no longer holds the connections of a member"),
    MEMBER_DISCOVERED(312, Level.INFO, "Discovery names a member, or another life of one"),
    MEMBER_LEAVING(313, Level.INFO, "A member is leaving and gets no new work"),
    MEMBER_ENTRY_REFUSED(325, Level.WARN, "An entry of discovery could not be read and names no member"),
    MEMBER_GONE(314, Level.INFO, "A member is gone from discovery"),
    PRIMARY_PROVED(315, Level.INFO, "A member proved that it leads its group"),
    PRIMARY_DISPROVED(316, Level.INFO, "A member no longer leads its group"),
    FAILOVER_ORDERED(317, Level.WARN, "A member is ordered to lead its group"),
    FAILOVER_WAITING(326, Level.WARN, "A group needs a primary, but no member may be promoted yet"),
    FAILOVER_ANSWERED(318, Level.INFO, "The order to lead was answered"),
    DUTY_TAKEN(319, Level.INFO, "This VM now decides failovers"),
    DUTY_LOST(322, Level.INFO, "This VM no longer decides failovers"),
    REPLICATION_STALLED(323, Level.WARN, "No replica receives what a primary commits; writes are rejected"),
    REPLICATION_RESUMED(324, Level.INFO, "A replica receives again what its primary commits"),
    CONNECTION_SILENT(330, Level.WARN, "A connection was dropped because it stayed silent past its deadline"),
    TRANSACTION_ENDED(340, Level.INFO, "An interactive transaction was ended by the node"),
    STATEMENT_ANSWERED(342, Level.INFO, "A statement was answered"),
    STATEMENT_REJECTED(341, Level.INFO, "A statement was rejected"),
    OVERLOAD_BEGAN(400, Level.WARN, "Work is refused because of overload"),
    OVERLOAD_ENDED(401, Level.INFO, "No more work is refused because of overload"),
    OUTCOME_UNKNOWN(410, Level.WARN, "A request ended with unknown outcome"),
    REQUEST_BROKEN(411, Level.ERROR, "A request ended by an unexpected error of the node"),
    TASK_BROKEN(412, Level.ERROR, "A task of the node ended by an unexpected error"),
    CALLER_REJECTED(420, Level.INFO, "A caller could not prove its team"),
    SERVER_LISTENING(430, Level.INFO, "A server accepts connections"),
    LIMITERS_CHANGED(440, Level.INFO, "Other VMs now count the limits of customers for this VM"),
    LIMIT_REACHED(441, Level.INFO, "Operations of a customer are refused, as its limit is reached"),
}
