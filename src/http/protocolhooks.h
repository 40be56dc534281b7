/**
 * @file
 * Hooks that read and write the headers of one protocol. A front end for another protocol supplies its own hooks.
 */
#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "http/exchange.h"
#include "requests/outcome.h"
#include "routing/targetsignals.h"
#include "workspaces/caller.h"

#include <functional>
#include <optional>

namespace pimentoshed::http
{

/** How the head of a target's response relates to the request that was sent. */
enum class AnswerKind : std::uint8_t {
    /** The response belongs to this request. */
    Genuine,
    /** The response belongs to another request; this request's own may follow. */
    Stray,
    /** The target proves that it did not run this request. */
    NotRun,
    /** The response can't be verified as belonging to this request. */
    Unverified,
};

inline constexpr std::array AnswerKindNames{
    core::EnumName<AnswerKind>{AnswerKind::Genuine, "genuine"},
    core::EnumName<AnswerKind>{AnswerKind::Stray, "stray"},
    core::EnumName<AnswerKind>{AnswerKind::NotRun, "not-run"},
    core::EnumName<AnswerKind>{AnswerKind::Unverified, "spoiled"},
};

/** What classifying the head of a response yields. */
struct AnswerClassification {
    AnswerKind kind = AnswerKind::Genuine;
    /** Empty if the response is not from the target of this request. */
    std::optional<routing::TargetSignals> signals;
    /** Whether callers take the status for a proof that the request was not run, although the response proves nothing.
     */
    bool isUnprovenRefusal = false;
};

/** What a refusal is made from. */
struct RefusalDetails {
    requests::RequestOutcome outcome;
    /** Time after which the caller may retry, if known. */
    std::optional<core::Duration> retryAfter;
};

/** The hooks of one protocol. They must not block. */
struct ProtocolHooks {
    /** Returns the ID that the caller gave the request, for logs; may be empty. */
    std::function<std::string(const Exchange &)> requestId;
    /** Returns the time limit that the caller set for the request, if any. Error: RequestMalformed. */
    std::function<core::Result<std::optional<core::Duration>>(const Exchange &)> callerTimeout;
    /** Sets the headers of a request to target @p id, with @p left until the deadline. */
    std::function<void(RequestHead &, const core::TargetId &id, core::Duration left)> setRequestHeaders;
    /** Returns what a request shows of its caller's key. */
    std::function<workspaces::PresentedKey(const RequestHead &)> callerKey;
    /**
     * Removes callers' keys from the head of a request, and whatever its caller says about its workspace. Then names
     * @p workspace unless it is empty. Not called in a configuration without workspaces.
     */
    std::function<void(RequestHead &, const core::WorkspaceName &workspace)> setWorkspace;
    /** Classifies the head of a final response, given the request's head as it was forwarded. */
    std::function<AnswerClassification(const RequestHead &, const AnswerHead &)> classifyAnswer;
    /** Makes the head of a probe request for the load of target @p id at @p path. */
    std::function<RequestHead(const std::string &path, const core::TargetId &id)> makeLoadProbe;
    /** Returns the signals in the response to a probe request; nothing if another target responded. */
    std::function<std::optional<routing::TargetSignals>(const AnswerHead &)> readSignals;
    /** Makes the reply to a request that this host refuses. */
    std::function<Reply(const RefusalDetails &)> makeRefusal;
};

/** Returns the hooks for the product's own headers, which docs/INTERFACES.md lists. */
ProtocolHooks defaultProtocolHooks();

} // namespace pimentoshed::http
