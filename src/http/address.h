/**
 * @file
 * Parses IP:PORT addresses.
 */
#pragma once

#include "core/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace pimentoshed::http
{

/** Parses @p text (a numeric IP address, a colon and a port) into an endpoint. Error: SettingInvalid. */
core::Result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text);

} // namespace pimentoshed::http
