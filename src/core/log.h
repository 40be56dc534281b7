/**
 * @file
 * Structured log: one JSON object per line, on standard output.
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
    /** The value, encoded as JSON. */
    std::string encoded;
};

/** Drops lines below @p level from now on. Thread-safe. */
void setLogLevel(LogLevel level);

/** Sets the "host" field of every line. Not thread-safe: must be called before the workers start. */
void setLogHost(std::string host);

/**
 * Writes one line. Lines of different threads never mix. The rate of lines per @p event is limited; after dropped
 * lines, the next one written gives their number as "lines_dropped_before". Thread-safe; rank Log.
 */
void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/** Returns @p text as a JSON string in quotes; non-ASCII bytes are copied unchanged. */
std::string jsonQuote(std::string_view text);

} // namespace pimentoshed::core
