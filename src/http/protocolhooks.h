/**
 * @file
 * How requests and answers are marked on the wire: what front ends for other protocols replace.
 */
#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "http/exchange.h"
#include "requests/outcome.h"
#include "routing/loadreport.h"

#include <functional>
#include <optional>

namespace pimentoshed::http
{

/** What a target's answer head says of the request that was sent. */
enum class AnswerKind : std::uint8_t {
    /** It is the answer to this request. */
    Genuine,
    /** It belongs to another request; the right one may follow. */
    Stray,
    /** The target proves that it did not run this request. */
    NotRun,
    /** It can't be trusted to be this request's answer. */
    Unverified,
};

inline constexpr std::array AnswerKindNames{
    core::EnumName<AnswerKind>{AnswerKind::Genuine, "genuine"},
    core::EnumName<AnswerKind>{AnswerKind::Stray, "stray"},
    core::EnumName<AnswerKind>{AnswerKind::NotRun, "not-run"},
    core::EnumName<AnswerKind>{AnswerKind::Unverified, "spoiled"},
};

/** A judged answer head. */
struct AnswerClassification {
    AnswerKind kind = AnswerKind::Genuine;
    std::optional<routing::LoadReport> load;
};

/** A refusal about to be sent. */
struct RefusalDetails {
    requests::RequestOutcome outcome;
    /** When the caller may come again, where that is known. */
    std::optional<core::Duration> retryAfter;
};

/** One protocol's marks. Hooks must not block. */
struct ProtocolHooks {
    /** Names a request in logs, as its caller does; may be empty. */
    std::function<std::string(const Exchange &)> requestId;
    /** The time that the caller gives its request, where it names one. Error: RequestMalformed. */
    std::function<core::Result<std::optional<core::Duration>>(const Exchange &)> callerTimeout;
    /** Marks what goes to target @p id with @p left until the deadline. */
    std::function<void(RequestHead &, const core::TargetId &id, core::Duration left)> setRequestHeaders;
    /** Judges a final answer head against the request head as it was forwarded. */
    std::function<AnswerClassification(const RequestHead &, const AnswerHead &)> classifyAnswer;
    /** The question for the load of target @p id at @p path. */
    std::function<RequestHead(const std::string &path, const core::TargetId &id)> makeLoadProbe;
    /** What an answer to that question says; nothing where it says nothing. */
    std::function<std::optional<routing::LoadReport>(const AnswerHead &)> readLoad;
    /** Makes the answer to a request that this host refuses. */
    std::function<Reply(const RefusalDetails &)> makeRefusal;
};

/** The product's own headers, as docs/INTERFACES.md lists them. */
ProtocolHooks defaultProtocolHooks();

} // namespace pimentoshed::http
