/**
 * @file
 * Converts between the leases of workspaces' requests and the messages of proto/pimentoshed.proto.
 */
#pragma once

#include "pimentoshed.pb.h"
#include "quotas/lease.h"

namespace pimentoshed::rpc
{

LeaseRequest encode(const quotas::LeaseCall &call);
quotas::LeaseCall decode(const LeaseRequest &message);

/** Lifetimes are rounded down and waits up, to milliseconds. */
LeaseReply encode(const quotas::LeaseAnswer &answer);
quotas::LeaseAnswer decode(const LeaseReply &message);

} // namespace pimentoshed::rpc
