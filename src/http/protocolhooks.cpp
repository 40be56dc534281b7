#include "http/protocolhooks.h"

#include "http/jsonreply.h"

#include <charconv>
#include <fmt/format.h>
#include <string_view>
#include <vector>

namespace pimentoshed::http
{

using boost::beast::http::status;
using core::ErrorCode;

namespace
{

core::Result<std::optional<core::Duration>> callerTimeout(const Exchange &exchange)
{
    const auto value = exchange.header(DeadlineHeader);
    if (value.empty()) {
        return std::optional<core::Duration>();
    }
    std::uint32_t millis = 0;
    const auto [end, code] = std::from_chars(value.data(), value.data() + value.size(), millis);
    if (code != std::errc() || end != value.data() + value.size()) {
        return core::Error{ErrorCode::RequestMalformed, std::string(DeadlineHeader)};
    }
    return std::optional<core::Duration>(std::chrono::milliseconds(millis));
}

void setRequestHeaders(RequestHead &head, const core::TargetId &, core::Duration left)
{
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(left);
    head.set({DeadlineHeader.data(), DeadlineHeader.size()}, fmt::format("{}", millis.count()));
}

workspaces::PresentedKey callerKey(const RequestHead &head)
{
    std::vector<std::string_view> keys;
    const auto [begin, end] = head.equal_range({KeyHeader.data(), KeyHeader.size()});
    for (auto at = begin; at != end; ++at) {
        keys.emplace_back(at->value().data(), at->value().size());
    }
    return workspaces::presentKeys(keys);
}

void setWorkspace(RequestHead &head, const core::WorkspaceName &workspace)
{
    head.erase({KeyHeader.data(), KeyHeader.size()});
    head.erase({WorkspaceHeader.data(), WorkspaceHeader.size()});
    if (!workspace.empty()) {
        head.set({WorkspaceHeader.data(), WorkspaceHeader.size()}, workspace.str());
    }
}

status statusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::NoSuchService:
        return status::not_found;
    case ErrorCode::KeyUnknown:
        return status::unauthorized;
    case ErrorCode::RequestMalformed:
    case ErrorCode::RequestKeyMissing:
        return status::bad_request;
    case ErrorCode::RequestTooLarge:
        return status::payload_too_large;
    case ErrorCode::CallerTooSlow:
        return status::request_timeout;
    case ErrorCode::OverQuota:
        return status::too_many_requests;
    case ErrorCode::DeadlinePassed:
        return status::gateway_timeout;
    case ErrorCode::TargetFailed:
    case ErrorCode::AnswerTruncated:
        return status::bad_gateway;
    case ErrorCode::RequestKeyUsed:
        return status::conflict;
    default:
        return status::service_unavailable;
    }
}

Reply makeRefusal(const RefusalDetails &details)
{
    auto reply = errorReply(statusOf(details.outcome.failure->code), *details.outcome.failure);
    if (reply.status == status::unauthorized) {
        reply.headers.emplace_back("WWW-Authenticate", KeyHeader);
    }
    if (reply.status == status::too_many_requests && details.retryAfter) {
        reply.headers.emplace_back(
            "Retry-After", fmt::format("{}", std::chrono::ceil<std::chrono::seconds>(*details.retryAfter).count()));
    }
    reply.headers.emplace_back(RunHeader, core::nameOf(requests::RunStateNames, details.outcome.run));
    return reply;
}

} // namespace

ProtocolHooks defaultProtocolHooks()
{
    return {[](const Exchange &) {
                return std::string();
            },
            callerTimeout,
            setRequestHeaders,
            callerKey,
            setWorkspace,
            [](const RequestHead &, const AnswerHead &) {
                return AnswerClassification{};
            },
            [](const std::string &path, const core::TargetId &) {
                RequestHead head;
                head.method(boost::beast::http::verb::get);
                head.target(path);
                return head;
            },
            [](const AnswerHead &) {
                return std::nullopt;
            },
            makeRefusal};
}

} // namespace pimentoshed::http
