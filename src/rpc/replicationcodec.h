/**
 * @file
 * Converts between the types of the replicated log and the messages of proto/replication.proto.
 */
#pragma once

#include "consensus/effects.h"
#include "consensus/messages.h"
#include "core/error.h"
#include "replication.pb.h"

#include <optional>
#include <string>
#include <vector>

namespace pimentoshed::rpc
{

void encode(const consensus::MemberId &member, MemberId &message);
consensus::MemberId decode(const MemberId &message);

void encode(const consensus::Members &members, Members &message);
consensus::Members decode(const Members &message);

void encode(const consensus::Message &message, Envelope &envelope);
/** Error: MessageMalformed. */
core::Result<consensus::Message> decode(const Envelope &envelope);

/** Returns the journal record with those parts of @p effects that must be made durable. */
std::string encodeRecord(const consensus::Effects &effects);

/** The log as it results from all records of a journal. */
struct RestoredLog {
    consensus::HardState hardState;
    std::optional<consensus::Snapshot> snapshot;
    std::vector<consensus::Entry> entries;
    std::optional<consensus::Members> initialMembers;
};

/** Applies the records of a journal in order. Error: JournalDamaged. */
core::Result<RestoredLog> decodeRecords(const std::vector<std::string> &records);

/** Returns a single journal record from which decodeRecords() restores @p log. */
std::string encodeRecord(const RestoredLog &log);

} // namespace pimentoshed::rpc
