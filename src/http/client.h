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

/** A request to send whole. */
struct ClientRequest {
    std::string method = "GET";
    std::string target;
    std::vector<Header> headers;
    std::string body;
};

/** A whole answer. */
struct ClientAnswer {
    unsigned status = 0;
    std::vector<Header> headers;
    std::string body;
};

/** Sends @p request to @p address (IP:PORT) on a connection of its own. Errors: SettingInvalid, PeerUnreachable. */
core::Result<ClientAnswer> fetch(const std::string &address, const ClientRequest &request, core::Duration timeout);

/** The value of the header called @p name, or nothing. */
std::string headerOf(const ClientAnswer &answer, const std::string &name);

} // namespace pimentoshed::http
