#include "core/log.h"

#include "core/enumtable.h"
#include "core/rankedmutex.h"
#include "core/text.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <utility>

namespace pimentoshed::core
{

namespace
{

constexpr std::array LevelNames{
    EnumName<LogLevel>{LogLevel::Debug, "debug"},
    EnumName<LogLevel>{LogLevel::Info, "info"},
    EnumName<LogLevel>{LogLevel::Warning, "warning"},
    EnumName<LogLevel>{LogLevel::Error, "error"},
};

std::atomic<LogLevel> &minimumLevel()
{
    static std::atomic<LogLevel> level{LogLevel::Info};
    return level;
}

std::string &hostName()
{
    static std::string host;
    return host;
}

RankedMutex &outputMutex()
{
    static RankedMutex mutex(LockRank::Log);
    return mutex;
}

/** Lines per event and second: few enough to read, and cheap compared with the work that is logged. */
constexpr unsigned MaxLinesPerSecond = 20;

/** Limits the lines of one event to MaxLinesPerSecond. */
class EventRateLimiter
{
public:
    /** Returns the number of lines dropped before this one, or std::nullopt if this one must be dropped as well. */
    std::optional<std::uint64_t> admit(std::chrono::steady_clock::time_point now)
    {
        if (now - m_start >= std::chrono::seconds(1)) {
            m_start = now;
            m_written = 0;
        }
        if (m_written == MaxLinesPerSecond) {
            ++m_dropped;
            return std::nullopt;
        }
        ++m_written;
        return std::exchange(m_dropped, 0);
    }

private:
    std::chrono::steady_clock::time_point m_start{};
    unsigned m_written = 0;
    std::uint64_t m_dropped = 0;
};

/**
 * Returns the limiter of @p event. Entries are never removed: event names are constants, so there are few. Called with
 * the output mutex held.
 */
EventRateLimiter &limiterOf(std::string_view event)
{
    static std::map<std::string, EventRateLimiter, std::less<>> limiters;
    const auto found = limiters.find(event);
    return found == limiters.end() ? limiters.emplace(event, EventRateLimiter()).first->second : found->second;
}

std::string timestamp()
{
    const auto now = std::chrono::system_clock::now();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis);
}

} // namespace

LogField::LogField(std::string_view fieldName, std::string_view text)
    : name(fieldName)
    , encoded(jsonQuote(text))
{
}

LogField::LogField(std::string_view fieldName, const char *text)
    : LogField(fieldName, std::string_view(text))
{
}

LogField::LogField(std::string_view fieldName, const std::string &text)
    : LogField(fieldName, std::string_view(text))
{
}

LogField::LogField(std::string_view fieldName, std::int64_t number)
    : name(fieldName)
    , encoded(fmt::format("{}", number))
{
}

LogField::LogField(std::string_view fieldName, std::uint64_t number)
    : name(fieldName)
    , encoded(fmt::format("{}", number))
{
}

LogField::LogField(std::string_view fieldName, int number)
    : name(fieldName)
    , encoded(fmt::format("{}", number))
{
}

LogField::LogField(std::string_view fieldName, unsigned number)
    : name(fieldName)
    , encoded(fmt::format("{}", number))
{
}

LogField::LogField(std::string_view fieldName, double number)
    : name(fieldName)
    , encoded(fmt::format("{}", number))
{
}

void setLogLevel(LogLevel level)
{
    minimumLevel().store(level);
}

void setLogHost(std::string host)
{
    hostName() = std::move(host);
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < minimumLevel().load()) {
        return;
    }
    const Lock lock(outputMutex());
    const auto dropped = limiterOf(event).admit(std::chrono::steady_clock::now());
    if (!dropped) {
        return;
    }
    std::string line = fmt::format(R"({{"time":"{}","level":"{}","host":{},"event":{})",
                                   timestamp(),
                                   nameOf(LevelNames, level),
                                   jsonQuote(hostName()),
                                   jsonQuote(event));
    for (const auto &field : fields) {
        line += fmt::format(",{}:{}", jsonQuote(field.name), field.encoded);
    }
    if (*dropped > 0) {
        line += fmt::format(",\"lines_dropped_before\":{}", *dropped);
    }
    line += "}\n";
    std::fwrite(line.data(), 1, line.size(), stdout);
    std::fflush(stdout);
}

std::string jsonQuote(std::string_view text)
{
    constexpr unsigned char FirstPrintable = 0x20;
    std::string quoted = "\"";
    for (const char character : replaceInvalid(text)) {
        if (character == '"' || character == '\\') {
            quoted += '\\';
            quoted += character;
        } else if (static_cast<unsigned char>(character) < FirstPrintable) {
            quoted += fmt::format("\\u{:04x}", static_cast<unsigned>(character));
        } else {
            quoted += character;
        }
    }
    quoted += '"';
    return quoted;
}

} // namespace pimentoshed::core
