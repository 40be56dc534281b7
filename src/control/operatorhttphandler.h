/**
 * @file
 * The HTTP interface of a control host for operators, with JSON replies.
 */
#pragma once

#include "control/httphandlerdependencies.h"

namespace pimentoshed::control
{

/** Creates the handler for a control host's operator address. docs/INTERFACES.md lists its endpoints. */
http::Handler makeOperatorHttpHandler(HttpHandlerDependencies dependencies);

} // namespace pimentoshed::control
