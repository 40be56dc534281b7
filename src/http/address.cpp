#include "http/address.h"

#include <charconv>
#include <cstdint>
#include <fmt/format.h>
#include <string>

namespace pimentoshed::http
{

core::Result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view text)
{
    const core::Error invalid{core::ErrorCode::SettingInvalid, fmt::format("'{}' is not IP:PORT", text)};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid;
    }
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(std::string(text.substr(0, colon)), failure);
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failure || code != std::errc() || end != digits.data() + digits.size()) {
        return invalid;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace pimentoshed::http
