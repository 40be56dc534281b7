/**
 * @file
 * Makes replies with JSON bodies.
 */
#pragma once

#include "core/error.h"
#include "http/exchange.h"

#include <nlohmann/json_fwd.hpp>

namespace pimentoshed::http
{

Reply jsonReply(boost::beast::http::status status, const nlohmann::json &body);

/** Makes a reply that describes @p error: {"code": 4002, "name": "no-target", "detail": "…"}. */
Reply errorReply(boost::beast::http::status status, const core::Error &error);

/** Makes the reply to a request for a path that is not served. */
Reply notFound();

} // namespace pimentoshed::http
