#include "configuration/parser.h"

#include "configuration/reader.h"
#include "configuration/rules.h"
#include "configuration/syntax.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace pimentoshed::configuration
{

namespace
{

/** Whether @p mistake may be only a consequence of a syntax error elsewhere in the file. */
bool mayBeConsequence(const Mistake &mistake)
{
    switch (mistake.code) {
    case core::ErrorCode::ConfigMissingKey:
    case core::ErrorCode::ConfigUnknownName:
        return true;
    case core::ErrorCode::ConfigUnknownKey:
        // The table that replaces one with a damaged header.
        return mistake.key == dottedKey({}, DamagedTableName);
    case core::ErrorCode::ConfigOutOfBounds:
        // The number of control hosts: the header of one may be damaged.
        return mistake.key == core::nameOf(SectionNames, Section::ControlHost);
    default:
        return false;
    }
}

/** Returns @p mistakes ordered by position. */
std::vector<Mistake> sortedByPosition(std::vector<Mistake> mistakes)
{
    std::sort(mistakes.begin(), mistakes.end(), [](const Mistake &left, const Mistake &right) {
        return std::tie(left.line, left.column, left.key, left.expected)
               < std::tie(right.line, right.column, right.key, right.expected);
    });
    return mistakes;
}

} // namespace

ParseResult parse(std::string_view text)
{
    auto document = parseDocument(text);
    std::vector<Mistake> found;
    auto configuration = readConfiguration(document.root, found);
    checkRules(document.root, configuration, found);
    auto &mistakes = document.mistakes;
    if (!mistakes.empty()) {
        std::erase_if(found, mayBeConsequence);
    }
    mistakes.insert(mistakes.end(), found.begin(), found.end());
    if (!mistakes.empty()) {
        return sortedByPosition(std::move(mistakes));
    }
    for (const auto &service : configuration.services) {
        configuration.routes.push_back(routeForService(service));
    }
    return configuration;
}

std::string describe(const Mistake &mistake)
{
    const auto key = mistake.key.empty() ? std::string("file") : mistake.key;
    return fmt::format("{}:{} {}: expected {} (E{} {})",
                       mistake.line,
                       mistake.column,
                       key,
                       mistake.expected,
                       static_cast<unsigned>(mistake.code),
                       core::errorName(mistake.code));
}

} // namespace pimentoshed::configuration
