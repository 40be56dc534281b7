#include "http/client.h"

#include "http/address.h"
#include "http/headers.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace pimentoshed::http
{

namespace beast = boost::beast;
namespace message = boost::beast::http;

namespace
{

/** The largest response body: that of the largest configuration file. */
constexpr std::uint64_t MaxBodyBytes = 64U << 20U;

message::request<message::string_body> makeRequest(const std::string &address, const ClientRequest &request)
{
    message::request<message::string_body> made;
    made.version(11);
    made.method_string(request.method);
    made.target(request.target);
    made.set(message::field::host, address);
    for (const auto &[name, value] : request.headers) {
        made.set(name, value);
    }
    made.body() = request.body;
    made.keep_alive(false);
    made.prepare_payload();
    return made;
}

ClientAnswer takeAnswer(message::response<message::string_body> &response)
{
    ClientAnswer answer;
    answer.status = response.result_int();
    for (const auto &field : response) {
        answer.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    answer.body = std::move(response.body());
    return answer;
}

} // namespace

core::Result<ClientAnswer> fetch(const std::string &address, const ClientRequest &request, core::Duration timeout)
{
    const auto endpoint = parseAddress(address);
    if (!core::ok(endpoint)) {
        return core::error(endpoint);
    }
    boost::asio::io_context context;
    beast::tcp_stream stream(context);
    stream.expires_after(timeout);
    const auto made = makeRequest(address, request);
    beast::flat_buffer buffer;
    message::response_parser<message::string_body> parser;
    parser.body_limit(MaxBodyBytes);
    if (request.method == "HEAD") {
        parser.skip(true);
    }
    beast::error_code outcome;
    const auto onRead = [&outcome](const beast::error_code &failure, std::size_t) {
        outcome = failure;
    };
    // Beast checks a declared length against the limit only if the head is read by itself.
    const auto onHeaderRead = [&](const beast::error_code &failure, std::size_t) {
        outcome = failure;
        if (!failure && !parser.is_done()) {
            message::async_read(stream, buffer, parser, onRead);
        }
    };
    const auto onWritten = [&](const beast::error_code &failure, std::size_t) {
        outcome = failure;
        if (!failure) {
            message::async_read_header(stream, buffer, parser, onHeaderRead);
        }
    };
    stream.async_connect(core::value(endpoint), [&](const beast::error_code &failure) {
        outcome = failure;
        if (!failure) {
            message::async_write(stream, made, onWritten);
        }
    });
    context.run();
    if (outcome) {
        return core::Error{core::ErrorCode::PeerUnreachable, address + ": " + outcome.message()};
    }
    if (const auto fault = answerFault(parser.get())) {
        return core::Error{core::ErrorCode::PeerUnreachable, address + ": " + *fault};
    }
    return takeAnswer(parser.get());
}

std::string headerOf(const ClientAnswer &answer, const std::string &name)
{
    for (const auto &[candidate, value] : answer.headers) {
        if (beast::iequals(candidate, name)) {
            return value;
        }
    }
    return {};
}

} // namespace pimentoshed::http
