/**
 * @file
 * Between the replicated log's types and the messages of proto/replication.proto.
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

/** The journal's record for what @p effects want durable. */
std::string encodeRecord(const consensus::Effects &effects);

/** What a journal's records add up to. */
struct RestoredLog {
    consensus::HardState hardState;
    std::optional<consensus::Snapshot> snapshot;
    std::vector<consensus::Entry> entries;
    std::optional<consensus::Members> initialMembers;
};

/** Error: JournalDamaged. */
core::Result<RestoredLog> decodeRecords(const std::vector<std::string> &records);

/** The one record that stands for @p log. */
std::string encodeRecord(const RestoredLog &log);

} // namespace pimentoshed::rpc
