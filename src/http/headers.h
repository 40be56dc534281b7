/**
 * @file
 * Header rules for relayed messages: unambiguous framing, and removal of hop-by-hop headers.
 */
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace pimentoshed::http
{

/**
 * The most bytes of a connection that wait to be parsed: above the longest head, and the only limit on the length of a
 * chunk's extensions and trailers.
 */
inline constexpr std::size_t MaxUnparsedBytes = 131072;

/** Request header: milliseconds left until the deadline. */
inline constexpr std::string_view DeadlineHeader = "Pimentoshed-Deadline-Ms";
/** Request header: the caller's key. Never sent to targets in a configuration with workspaces. */
inline constexpr std::string_view KeyHeader = "Pimentoshed-Key";
/** Request header: the name of the caller's workspace, for targets. */
inline constexpr std::string_view WorkspaceHeader = "Pimentoshed-Workspace";
/** Header of refusals: whether the request was run at a target, as a name from requests::RunStateNames. */
inline constexpr std::string_view RunHeader = "Pimentoshed-Run";

using RequestHead = boost::beast::http::header<true>;
using AnswerHead = boost::beast::http::header<false>;

/** Returns why a request with @p head is refused as malformed, or nothing. */
std::optional<std::string> requestFault(const RequestHead &head);

/**
 * Returns why a response with @p head is no valid response, or nothing: its framing is ambiguous, or its status is not
 * one of the five classes of HTTP (100 to 599).
 */
std::optional<std::string> answerFault(const AnswerHead &head);

/** Removes the hop-by-hop headers: those known as such and those listed in the Connection header. */
void removeHopByHopHeaders(boost::beast::http::fields &fields);

/** Returns the encoded head, including the empty line at its end. */
std::string encode(const RequestHead &head);
std::string encode(const AnswerHead &head);

} // namespace pimentoshed::http
