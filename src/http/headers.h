/**
 * @file
 * Rules for the headers of messages that pass through: framing that can be trusted, and what stays on one hop.
 */
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace pimentoshed::http
{

inline constexpr std::string_view DeadlineHeader = "Pimentoshed-Deadline-Ms";
inline constexpr std::string_view RunHeader = "Pimentoshed-Run";

using RequestHead = boost::beast::http::header<true>;
using AnswerHead = boost::beast::http::header<false>;

/** Why two readers could see different ends of the message with these @p fields, or nothing. */
std::optional<std::string> framingFault(const boost::beast::http::fields &fields, unsigned version);

/** Why @p head can't be served, or nothing. */
std::optional<std::string> requestFault(const RequestHead &head);

/** Removes what concerns one connection only: the known names and those that Connection lists. */
void dropHopByHop(boost::beast::http::fields &fields);

/** The bytes of a head, its empty line included. */
std::string encode(const RequestHead &head);
std::string encode(const AnswerHead &head);

} // namespace pimentoshed::http
