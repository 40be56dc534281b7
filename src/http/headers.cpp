#include "http/headers.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/serializer.hpp>
#include <fmt/format.h>
#include <vector>

namespace pimentoshed::http
{

namespace beast = boost::beast;
namespace message = boost::beast::http;

namespace
{

constexpr unsigned Version10 = 10;
constexpr unsigned Version11 = 11;

constexpr std::array HopByHopHeaders{
    message::field::connection,
    message::field::keep_alive,
    message::field::proxy_connection,
    message::field::te,
    message::field::trailer,
    message::field::upgrade,
    message::field::expect,
};

/** Headers that frame or address the message; a Connection header that lists them doesn't remove them. */
constexpr std::array EndToEndHeaders{
    message::field::host,
    message::field::content_length,
    message::field::transfer_encoding,
};

bool isEndToEndHeader(beast::string_view name)
{
    return std::find(EndToEndHeaders.begin(), EndToEndHeaders.end(), message::string_to_field(name))
           != EndToEndHeaders.end();
}

template<bool IsRequest>
std::string encodeHead(const message::header<IsRequest> &head)
{
    message::message<IsRequest, message::empty_body> whole(head);
    message::serializer<IsRequest, message::empty_body> serializer(whole);
    serializer.split(true);
    std::string bytes;
    beast::error_code failure;
    serializer.next(failure, [&bytes](const beast::error_code &, const auto &buffers) {
        for (const auto buffer : beast::buffers_range_ref(buffers)) {
            bytes.append(static_cast<const char *>(buffer.data()), buffer.size());
        }
    });
    return bytes;
}

/**
 * Returns why the framing of a message with these @p fields is refused, or nothing. Implementations could disagree on
 * where such a message ends, which would allow request smuggling.
 */
std::optional<std::string> framingFault(const message::fields &fields, unsigned version)
{
    const auto codings = fields.count(message::field::transfer_encoding);
    const auto lengths = fields.count(message::field::content_length);
    if (codings + lengths > 1) {
        return "more than one Content-Length or Transfer-Encoding header";
    }
    if (codings == 1 && version != Version11) {
        return "Transfer-Encoding in an HTTP version other than 1.1";
    }
    if (codings == 1 && !beast::iequals(fields[message::field::transfer_encoding], "chunked")) {
        return "a Transfer-Encoding other than chunked";
    }
    return std::nullopt;
}

} // namespace

std::optional<std::string> requestFault(const RequestHead &head)
{
    if (head.version() != Version10 && head.version() != Version11) {
        return "an HTTP version other than 1.0 and 1.1";
    }
    if (head.method() == message::verb::connect) {
        return "CONNECT";
    }
    const auto hosts = head.count(message::field::host);
    if (hosts > 1 || (hosts == 0 && head.version() == Version11)) {
        return "Host header missing or repeated";
    }
    return framingFault(head, head.version());
}

std::optional<std::string> answerFault(const AnswerHead &head)
{
    constexpr unsigned FirstStatus = 100;
    constexpr unsigned LastStatus = 599;
    if (head.result_int() < FirstStatus || head.result_int() > LastStatus) {
        return fmt::format("status {:03}, which HTTP does not define", head.result_int());
    }
    return framingFault(head, head.version());
}

void removeHopByHopHeaders(message::fields &fields)
{
    std::vector<std::string> listed;
    const auto range = fields.equal_range(message::field::connection);
    for (auto at = range.first; at != range.second; ++at) {
        for (const auto &token : message::token_list(at->value())) {
            if (!isEndToEndHeader(token)) {
                listed.emplace_back(token);
            }
        }
    }
    for (const auto &name : listed) {
        fields.erase(name);
    }
    for (const auto name : HopByHopHeaders) {
        fields.erase(name);
    }
}

std::string encode(const RequestHead &head)
{
    return encodeHead(head);
}

std::string encode(const AnswerHead &head)
{
    return encodeHead(head);
}

} // namespace pimentoshed::http
