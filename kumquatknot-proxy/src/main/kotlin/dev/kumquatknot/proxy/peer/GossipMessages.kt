package dev.kumquatknot.proxy.peer

import dev.kumquatknot.core.history.Term
import dev.kumquatknot.core.identity.DataCentre
import dev.kumquatknot.core.identity.DatabaseName
import dev.kumquatknot.core.identity.MemberName
import dev.kumquatknot.core.identity.VmName
import dev.kumquatknot.core.membership.VmCondition
import dev.kumquatknot.core.membership.VmRecord
import dev.kumquatknot.protocol.node.Condition
import kotlin.time.Duration.Companion.microseconds
import dev.kumquatknot.protocol.node.GossipMessage as GossipMessageMessage
import dev.kumquatknot.protocol.node.PrimaryRecord as PrimaryRecordMessage
import dev.kumquatknot.protocol.node.VantageReply as VantageReplyMessage
import dev.kumquatknot.protocol.node.VmRecord as VmRecordMessage

internal fun GossipMessage.toMessage(): GossipMessageMessage = GossipMessageMessage.newBuilder()
    .setSender(sender.toMessage())
    .addAllVms(vms.map { it.toMessage() })
    .addAllPrimaries(primaries.map { it.toMessage() })
    .setConfigurationNumber(configurationNumber)
    .setFull(full)
    .build()

internal fun GossipMessageMessage.toGossipMessage(): GossipMessage = GossipMessage(
    sender = sender.toVmRecord(),
    vms = vmsList.map { it.toVmRecord() },
    primaries = primariesList.map { it.toPrimaryRecord() },
    configurationNumber = configurationNumber,
    full = full,
)

internal fun MemberObservation.toMessage(): VantageReplyMessage {
    val builder = VantageReplyMessage.newBuilder().setAcceptedTerm(acceptedTerm.value)
    sinceLastResponse?.let { builder.setHeardAgoMicros(it.inWholeMicroseconds) }
    return builder.build()
}

internal fun VantageReplyMessage.toMemberObservation(): MemberObservation =
    MemberObservation(if (hasHeardAgoMicros()) heardAgoMicros.microseconds else null, Term(acceptedTerm))

private fun VmRecord.toMessage(): VmRecordMessage = VmRecordMessage.newBuilder()
    .setName(name.value)
    .setDataCentre(dataCentre.value)
    .setAddress(address)
    .setIncarnation(incarnation)
    .setCondition(Condition.forNumber(condition.ordinal))
    .build()

private fun VmRecordMessage.toVmRecord(): VmRecord = VmRecord(
    name = VmName(name),
    dataCentre = DataCentre(dataCentre),
    address = address,
    incarnation = incarnation,
    condition = VmCondition.entries.getOrElse(conditionValue) { VmCondition.FAILED },
)

private fun PrimaryRecord.toMessage(): PrimaryRecordMessage = PrimaryRecordMessage.newBuilder()
    .setDatabase(database.value)
    .setTerm(term.value)
    .setPrimary(primary.value)
    .build()

private fun PrimaryRecordMessage.toPrimaryRecord(): PrimaryRecord =
    PrimaryRecord(DatabaseName(database), Term(term), MemberName(primary))
