/**
 * @file
 * Converts between the domain types and the messages of proto/pimentoshed.proto.
 */
#pragma once

#include "changes/ledger.h"
#include "core/error.h"
#include "membership/versionedhosttable.h"
#include "pimentoshed.pb.h"
#include "rollouts/counttable.h"
#include "targets/target.h"

#include <vector>

namespace pimentoshed::rpc
{

void encode(const membership::EntryHost &host, EntryHost &message);
membership::EntryHost decode(const EntryHost &message);

void encode(const membership::HostUpdate &update, FollowReply &message);
membership::HostUpdate decodeHosts(const FollowReply &message);

void encode(const targets::Target &target, Target &message);
/** Error: MessageMalformed if the condition is unknown. */
core::Result<targets::Target> decode(const Target &message);

void encode(const rollouts::Rollout &rollout, Rollout &message);
/** Error: MessageMalformed if no rollout can have this state. */
core::Result<rollouts::Rollout> decode(const Rollout &message);

void encode(const rollouts::HostCounts &counts, VersionCounts &message);
rollouts::HostCounts decode(const VersionCounts &message);
std::vector<rollouts::HostCounts> decodeCounts(const ReportRequest &message);

void encode(const membership::ControlHost &host, ControlHost &message);
membership::ControlHost decode(const ControlHost &message);

/** Encodes everything except the file. */
void encode(const changes::ActiveConfiguration &active, Standing &message);
/**
 * @p current is the active configuration that this host already has, or nullptr. Its file is used if the message omits
 * the file, and as the reference text if the file is compressed against one. Error: MessageMalformed if the file does
 * not parse, or if the file of @p current is needed and has another version.
 */
core::Result<changes::ActiveConfiguration> decode(const Standing &message,
                                                  const changes::ActiveConfiguration *current,
                                                  const configuration::FileParser &parser);

} // namespace pimentoshed::rpc
