/**
 * @file
 * The operators' side of a control host, over HTTP with JSON.
 */
#pragma once

#include "control/httphandlerdependencies.h"

namespace pimentoshed::control
{

/** The handler for a control host's operator address. docs/INTERFACES.md lists what it serves. */
http::Handler makeOperatorHttpHandler(HttpHandlerDependencies services);

} // namespace pimentoshed::control
