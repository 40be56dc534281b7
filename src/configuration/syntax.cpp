#include "configuration/syntax.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <string>

namespace pimentoshed::configuration
{

namespace
{

constexpr std::size_t MaxFileBytes = std::size_t{1} << 20;
/** More dots would nest tables deeper than any key stands. */
constexpr auto MaxDotsPerLine = 128;
/** Syntax errors reported in one run. */
constexpr std::size_t MaxSyntaxMistakes = 20;
/** Text that is read again to get behind syntax errors, so that a large file can't hold up its reader. */
constexpr std::size_t MaxRepairBytes = std::size_t{8} << 20;
/** Lines that are searched for what was left open. */
constexpr std::size_t MaxLookBack = 100;

using Lines = std::vector<std::string>;

/** The outcome of one run of the TOML library. */
struct Attempt {
    toml::table root;
    std::optional<Mistake> mistake;

    /** The line that the run got to. */
    std::size_t reached() const
    {
        return mistake ? mistake->line : std::string::npos;
    }
};

Mistake syntaxMistake(std::size_t line, std::size_t column, std::string expected)
{
    return {core::ErrorCode::ConfigSyntax,
            static_cast<unsigned>(line),
            static_cast<unsigned>(column),
            {},
            std::move(expected)};
}

/** @p text with a '?' for each byte that is not printable ASCII. */
std::string printable(std::string_view text)
{
    std::string shown(text);
    std::replace_if(
        shown.begin(),
        shown.end(),
        [](char c) {
            return c < ' ' || c > '~';
        },
        '?');
    return shown;
}

Lines split(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

std::string join(const Lines &lines)
{
    std::string text;
    for (const auto &line : lines) {
        text += line;
        text += '\n';
    }
    return text;
}

Attempt attempt(std::string_view text)
{
    try {
        return {toml::parse(text), std::nullopt};
    } catch (const toml::parse_error &failure) {
        const auto place = failure.source().begin;
        return {
            {},
            syntaxMistake(place.line, place.column, fmt::format("valid TOML: {}", printable(failure.description())))};
    } catch (const std::exception &failure) {
        return {{}, syntaxMistake(0, 0, fmt::format("valid TOML: {}", printable(failure.what())))};
    }
}

/** The line, counted from 1, up to which @p lines must be read for an error without a place to show. */
std::size_t locate(const Lines &lines)
{
    std::size_t clean = 0;
    std::size_t broken = lines.size();
    while (clean + 1 < broken) {
        const auto middle = clean + (broken - clean) / 2;
        const auto half = attempt(join({lines.begin(), lines.begin() + static_cast<std::ptrdiff_t>(middle)}));
        const bool shows = half.mistake && half.mistake->line == 0;
        (shows ? broken : clean) = middle;
    }
    return broken;
}

/** As attempt(), with a place for every error. */
Attempt attemptLines(const Lines &lines)
{
    auto result = attempt(join(lines));
    if (result.mistake && result.mistake->line == 0) {
        result.mistake->line = static_cast<unsigned>(locate(lines));
        result.mistake->column = 1;
    }
    return result;
}

/** Empties lines [@p first, @p last]; the damaged header of a table becomes one of a table that is passed over. */
void repair(Lines &lines, std::size_t first, std::size_t last, std::size_t number)
{
    for (auto i = first; i <= last; ++i) {
        const bool header = lines[i].find_first_not_of(" \t") != std::string::npos
                            && lines[i][lines[i].find_first_not_of(" \t")] == '[';
        lines[i] = header && first == last ? fmt::format("[\"{}\".t{}]", "\\u007f", number) : std::string();
    }
}

/** The nearest line before @p index that is no statement by itself: perhaps what was left open. */
std::optional<std::size_t> findOpener(const Lines &lines, std::size_t index)
{
    const auto first = index - std::min(index, MaxLookBack);
    for (auto i = index; i > first; --i) {
        if (lines[i - 1].find('=') != std::string::npos && attempt(lines[i - 1]).mistake) {
            return i - 1;
        }
    }
    return std::nullopt;
}

/** Mends the error at line @p index in that way by which the library then gets furthest. */
Attempt mend(Lines &lines, std::size_t index, std::size_t number)
{
    auto single = lines;
    repair(single, index, index, number);
    auto best = attemptLines(single);
    if (best.mistake && best.reached() <= index + 2) {
        if (const auto opener = findOpener(lines, index)) {
            auto several = lines;
            repair(several, *opener, index == *opener ? index : index - 1, number);
            auto other = attemptLines(several);
            if (other.reached() >= best.reached()) {
                lines = std::move(several);
                return other;
            }
        }
    }
    lines = std::move(single);
    return best;
}

/** Whether @p line has a byte beyond ASCII where toml++ would take it for a key or a space: that is undefined there. */
bool hasForeignByte(std::string_view line)
{
    constexpr unsigned char LastAscii = 0x7f;
    const auto foreign = [](char c) {
        return static_cast<unsigned char>(c) > LastAscii;
    };
    if (std::none_of(line.begin(), line.end(), foreign)) {
        return false;
    }
    if (line.find("\"\"\"") != std::string_view::npos || line.find("'''") != std::string_view::npos) {
        return true;
    }
    char quote = 0;
    for (std::size_t i = 0; i < line.size(); ++i) {
        const char c = line[i];
        if (quote == 0 && (c == '#' || foreign(c))) {
            return c != '#';
        }
        if (quote == '"' && c == '\\') {
            ++i;
        } else if (quote == c) {
            quote = 0;
        } else if (quote == 0 && (c == '"' || c == '\'')) {
            quote = c;
        }
    }
    return false;
}

std::vector<Mistake> checkText(std::string_view text, const Lines &lines)
{
    if (text.size() > MaxFileBytes) {
        return {syntaxMistake(0, 0, fmt::format("a file of at most {} bytes", MaxFileBytes))};
    }
    std::vector<Mistake> mistakes;
    for (std::size_t i = 0; i < lines.size() && mistakes.size() < MaxSyntaxMistakes; ++i) {
        if (std::count(lines[i].begin(), lines[i].end(), '.') > MaxDotsPerLine) {
            mistakes.push_back(syntaxMistake(i + 1, 1, fmt::format("at most {} dots in a line", MaxDotsPerLine)));
        }
        if (hasForeignByte(lines[i])) {
            mistakes.push_back(syntaxMistake(i + 1, 1, "ASCII outside of strings and comments"));
        }
    }
    return mistakes;
}

} // namespace

Document readDocument(std::string_view text)
{
    auto lines = split(text);
    if (auto mistakes = checkText(text, lines); !mistakes.empty()) {
        return {{}, std::move(mistakes)};
    }
    Document document;
    auto latest = attemptLines(lines);
    std::size_t readAgain = 0;
    while (latest.mistake) {
        const auto line = std::min<std::size_t>(latest.mistake->line, lines.size());
        document.mistakes.push_back(std::move(*latest.mistake));
        readAgain += 2 * text.size();
        if (line == 0 || document.mistakes.size() == MaxSyntaxMistakes || readAgain > MaxRepairBytes) {
            return document;
        }
        latest = mend(lines, line - 1, document.mistakes.size());
        if (latest.mistake == document.mistakes.back()) {
            return document;
        }
    }
    document.root = std::move(latest.root);
    return document;
}

} // namespace pimentoshed::configuration
