/**
 * @file
 * A blocking HTTP client for the command line and for tests.
 */
#pragma once

#include "core/error.h"
#include "core/time.h"
#include "http/exchange.h"

#include <string>
#include <vector>

namespace pimentoshed::http
{

/** A request with its whole body. */
struct ClientRequest {
    std::string method = "GET";
    std::string target;
    std::vector<Header> headers;
    std::string body;
};

/** A response with its whole body. */
struct ClientAnswer {
    unsigned status = 0;
    std::vector<Header> headers;
    std::string body;
};

/**
 * Sends @p request to @p address (IP:PORT) on a new connection and returns the response. @p timeout limits the whole
 * call, and a body may have 64 MiB. Errors: SettingInvalid, PeerUnreachable.
 */
core::Result<ClientAnswer> fetch(const std::string &address, const ClientRequest &request, core::Duration timeout);

/** Returns the value of the first header called @p name, in any case, or an empty string. */
std::string headerOf(const ClientAnswer &answer, const std::string &name);

} // namespace pimentoshed::http
