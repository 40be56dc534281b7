/**
 * @file
 * Log lines: one JSON object a line, to standard output.
 */
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pimentoshed::core
{

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/** A named value of a log line. */
struct LogField {
    LogField(std::string_view fieldName, std::string_view text);
    LogField(std::string_view fieldName, const char *text);
    LogField(std::string_view fieldName, const std::string &text);
    LogField(std::string_view fieldName, std::int64_t number);
    LogField(std::string_view fieldName, std::uint64_t number);
    LogField(std::string_view fieldName, int number);
    LogField(std::string_view fieldName, unsigned number);
    LogField(std::string_view fieldName, double number);

    std::string_view name;
    /** Already encoded as JSON. */
    std::string encoded;
};

/** Lines below @p level are dropped from now on. */
void setLogLevel(LogLevel level);

/** Sets what the "host" field of every line says. Call before the workers start. */
void setLogHost(std::string host);

/**
 * Writes one line; whole lines of different threads never mix. Of one event some lines a second are written at most;
 * the next one that is says how many were dropped.
 */
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/** @p text as a JSON string with its quotes; bytes that are not ASCII pass unchanged. */
std::string jsonQuote(std::string_view text);

} // namespace pimentoshed::core
