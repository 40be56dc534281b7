/**
 * @file
 * IP:PORT as text and as an endpoint.
 */
#pragma once

#include "core/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace pimentoshed::http
{

/** The endpoint that @p text (IP:PORT) names. Error: SettingInvalid. */
core::Result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text);

} // namespace pimentoshed::http
