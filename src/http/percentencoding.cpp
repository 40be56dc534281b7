#include "http/percentencoding.h"

#include <charconv>

namespace pimentoshed::http
{

std::optional<std::string> decodePercent(std::string_view text)
{
    constexpr std::size_t Digits = 2;
    constexpr int Base = 16;
    std::string decoded;
    decoded.reserve(text.size());
    while (!text.empty()) {
        if (text.front() != '%') {
            decoded += text.front();
            text.remove_prefix(1);
            continue;
        }
        const auto digits = text.substr(1, Digits);
        unsigned char byte = 0;
        const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), byte, Base);
        if (failure != std::errc() || digits.size() < Digits || end != digits.data() + Digits) {
            return std::nullopt;
        }
        decoded += static_cast<char>(byte);
        text.remove_prefix(1 + Digits);
    }
    return decoded;
}

} // namespace pimentoshed::http
