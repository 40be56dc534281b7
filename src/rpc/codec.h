/**
 * @file
 * Between the domain's types and the messages of proto/pimentoshed.proto.
 */
#pragma once

#include "changes/ledger.h"
#include "core/error.h"
#include "membership/versionedhosttable.h"
#include "pimentoshed.pb.h"
#include "targets/target.h"

namespace pimentoshed::rpc
{

void encode(const membership::EntryHost &host, EntryHost &message);
membership::EntryHost decode(const EntryHost &message);

void encode(const membership::HostUpdate &news, FollowReply &message);
membership::HostUpdate decodeHosts(const FollowReply &message);

void encode(const targets::Target &target, Target &message);
/** Error: MessageMalformed where the condition is not known. */
core::Result<targets::Target> decode(const Target &message);

void encode(const membership::ControlHost &host, ControlHost &message);
membership::ControlHost decode(const ControlHost &message);

/** All but the file. */
void encode(const changes::ActiveConfiguration &standing, Standing &message);
/**
 * Takes the file from @p known where the message leaves it out. Error: MessageMalformed where the file does not parse,
 * is left out and not known, or leans on another than @p known.
 */
core::Result<changes::ActiveConfiguration> decode(const Standing &message,
                                                  const changes::ActiveConfiguration *known,
                                                  const configuration::FileParser &parser);

} // namespace pimentoshed::rpc
