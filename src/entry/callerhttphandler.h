/**
 * @file
 * The HTTP handler for an entry host's callers: serves the addresses of entry hosts and relays requests to targets.
 */
#pragma once

#include "entry/callerhandlerdependencies.h"
#include "http/server.h"

namespace pimentoshed::entry
{

/** Makes the handler for an entry host's caller address. docs/INTERFACES.md lists the paths that it serves. */
http::Handler makeCallerHttpHandler(CallerHandlerDependencies dependencies);

} // namespace pimentoshed::entry
