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

/** Whether a syntax error elsewhere in the file may be the whole reason for @p mistake. */
bool mayFollow(const Mistake &mistake)
{
    switch (mistake.code) {
    case core::ErrorCode::ConfigMissingKey:
    case core::ErrorCode::ConfigUnknownName:
        return true;
    case core::ErrorCode::ConfigUnknownKey:
        return mistake.key == dotted({}, DamagedTable);
    case core::ErrorCode::ConfigOutOfBounds:
        return mistake.key == core::nameOf(SectionNames, Section::ControlHost);
    default:
        return false;
    }
}

/** @p mistakes in the order of their places. */
std::vector<Mistake> sorted(std::vector<Mistake> mistakes)
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
    auto document = readDocument(text);
    std::vector<Mistake> found;
    auto configuration = readFile(document.root, found);
    checkRules(document.root, configuration, found);
    auto &mistakes = document.mistakes;
    if (!mistakes.empty()) {
        std::erase_if(found, mayFollow);
    }
    mistakes.insert(mistakes.end(), found.begin(), found.end());
    if (!mistakes.empty()) {
        return sorted(std::move(mistakes));
    }
    for (const auto &service : configuration.services) {
        configuration.routes.push_back(routeOf(service));
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
