#include "core/log.h"

#include "core/enumtable.h"
#include "core/rankedmutex.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <fmt/format.h>

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

std::atomic<LogLevel> &threshold()
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
    threshold().store(level);
}

void setLogHost(std::string host)
{
    hostName() = std::move(host);
}

void log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < threshold().load()) {
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
    line += "}\n";
    const Lock lock(outputMutex());
    std::fwrite(line.data(), 1, line.size(), stderr);
}

std::string jsonQuote(std::string_view text)
{
    constexpr unsigned char FirstPrintable = 0x20;
    std::string quoted = "\"";
    for (const char character : text) {
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
