#include "configuration/syntax.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <string>

namespace pimentoshed::configuration
{

namespace
{

/** Twice what 10,000 workspaces with four keys each take. */
constexpr std::size_t MaxFileBytes = std::size_t{4} << 20;
/** Limit for the depth of dotted keys, far above what any key of the file needs. */
constexpr auto MaxDotsPerLine = 128;
/** Largest number of syntax errors reported for one file. */
constexpr std::size_t MaxSyntaxMistakes = 20;
/** Limit for the text parsed again after syntax errors, so that a large file can't take too long. */
constexpr std::size_t MaxReparsedBytes = std::size_t{8} << 20;
/** Lines searched backwards for the start of an unclosed statement. */
constexpr std::size_t MaxLookBackLines = 100;

using Lines = std::vector<std::string>;

/** The result of one run of the TOML parser: the tables, or its first error. */
struct ParseAttempt {
    toml::table root;
    std::optional<Mistake> mistake;

    /** The line that the parser reached; npos if it parsed everything. */
    std::size_t reachedLine() const
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

/** Replaces each byte of @p text that is not printable ASCII by '?'. */
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

ParseAttempt tryParse(std::string_view text)
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

/**
 * Finds by bisection the line, counted from 1, of an error that toml++ reports without a position: the number of lines
 * that must be parsed until the error appears.
 */
std::size_t findErrorLine(const Lines &lines)
{
    std::size_t cleanLines = 0;
    std::size_t brokenLines = lines.size();
    while (cleanLines + 1 < brokenLines) {
        const auto middle = cleanLines + (brokenLines - cleanLines) / 2;
        const auto firstLines = tryParse(join({lines.begin(), lines.begin() + static_cast<std::ptrdiff_t>(middle)}));
        const bool hasError = firstLines.mistake && firstLines.mistake->line == 0;
        (hasError ? brokenLines : cleanLines) = middle;
    }
    return brokenLines;
}

/** Like tryParse(), but every error has a position. */
ParseAttempt tryParseLines(const Lines &lines)
{
    auto result = tryParse(join(lines));
    if (result.mistake && result.mistake->line == 0) {
        result.mistake->line = static_cast<unsigned>(findErrorLine(lines));
        result.mistake->column = 1;
    }
    return result;
}

/**
 * Clears the lines from @p first to @p last, both included. If this is one line and it is a table header, replaces it
 * by the header of a table in DamagedTableName, whose keys are ignored; @p number makes that header unique.
 */
void clearLines(Lines &lines, std::size_t first, std::size_t last, std::size_t number)
{
    for (auto i = first; i <= last; ++i) {
        const bool isHeader = lines[i].find_first_not_of(" \t") != std::string::npos
                              && lines[i][lines[i].find_first_not_of(" \t")] == '[';
        lines[i] = isHeader && first == last ? fmt::format("[\"{}\".t{}]", "\\u007f", number) : std::string();
    }
}

/** Returns the nearest line before @p index that has a '=' but doesn't parse alone: perhaps an unclosed statement. */
std::optional<std::size_t> findUnclosedStatement(const Lines &lines, std::size_t index)
{
    const auto first = index - std::min(index, MaxLookBackLines);
    for (auto i = index; i > first; --i) {
        if (lines[i - 1].find('=') != std::string::npos && tryParse(lines[i - 1]).mistake) {
            return i - 1;
        }
    }
    return std::nullopt;
}

/**
 * Removes the syntax error at line @p index: clears that line, or the lines from an unclosed statement before it,
 * whichever lets the parser get further. Returns the result of parsing the changed @p lines.
 */
ParseAttempt removeSyntaxError(Lines &lines, std::size_t index, std::size_t number)
{
    auto oneCleared = lines;
    clearLines(oneCleared, index, index, number);
    auto best = tryParseLines(oneCleared);
    // The parser got no further than the line after the cleared one.
    if (best.mistake && best.reachedLine() <= index + 2) {
        if (const auto unclosed = findUnclosedStatement(lines, index)) {
            auto severalCleared = lines;
            clearLines(severalCleared, *unclosed, index == *unclosed ? index : index - 1, number);
            auto other = tryParseLines(severalCleared);
            if (other.reachedLine() >= best.reachedLine()) {
                lines = std::move(severalCleared);
                return other;
            }
        }
    }
    lines = std::move(oneCleared);
    return best;
}

/** Whether @p line has a non-ASCII byte where toml++ takes it for a key or a space, which is undefined behaviour. */
bool hasMisplacedNonAscii(std::string_view line)
{
    constexpr unsigned char LastAscii = 0x7f;
    const auto isNonAscii = [](char c) {
        return static_cast<unsigned char>(c) > LastAscii;
    };
    if (std::none_of(line.begin(), line.end(), isNonAscii)) {
        return false;
    }
    // Multi-line strings aren't tracked: a line that opens or closes one must be ASCII.
    if (line.find("\"\"\"") != std::string_view::npos || line.find("'''") != std::string_view::npos) {
        return true;
    }
    char quote = 0;
    for (std::size_t i = 0; i < line.size(); ++i) {
        const char c = line[i];
        if (quote == 0 && (c == '#' || isNonAscii(c))) {
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
        if (hasMisplacedNonAscii(lines[i])) {
            mistakes.push_back(syntaxMistake(i + 1, 1, "ASCII outside of strings and comments"));
        }
    }
    return mistakes;
}

} // namespace

Document parseDocument(std::string_view text)
{
    auto lines = split(text);
    if (auto mistakes = checkText(text, lines); !mistakes.empty()) {
        return {{}, std::move(mistakes)};
    }
    Document document;
    auto latest = tryParseLines(lines);
    std::size_t reparsedBytes = 0;
    while (latest.mistake) {
        const auto line = std::min<std::size_t>(latest.mistake->line, lines.size());
        document.mistakes.push_back(std::move(*latest.mistake));
        // Each removed error can parse the text twice.
        reparsedBytes += 2 * text.size();
        if (line == 0 || document.mistakes.size() == MaxSyntaxMistakes || reparsedBytes > MaxReparsedBytes) {
            return document;
        }
        latest = removeSyntaxError(lines, line - 1, document.mistakes.size());
        if (latest.mistake == document.mistakes.back()) {
            return document;
        }
    }
    document.root = std::move(latest.root);
    return document;
}

} // namespace pimentoshed::configuration
