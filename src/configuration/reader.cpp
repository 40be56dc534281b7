#include "configuration/reader.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <optional>
#include <set>

namespace pimentoshed::configuration
{

namespace
{

using core::ErrorCode;
using Mistakes = std::vector<Mistake>;

/** One value on its way from the file to the model. */
struct Reading {
    const KeyRow &row;
    const std::string &path;
    Mistakes &mistakes;

    std::nullopt_t refuse(ErrorCode code, const toml::node &node) const
    {
        mistakes.push_back(mistakeAt(code, node.source(), path, expectation(row)));
        return std::nullopt;
    }
};

bool within(const Bounds &bounds, double number)
{
    return number >= bounds.lower && number <= bounds.upper;
}

std::optional<Value> readInteger(const toml::node &node, const Reading &reading)
{
    const auto *number = node.as_integer();
    if (number == nullptr) {
        return reading.refuse(ErrorCode::ConfigWrongType, node);
    }
    if (!within(reading.row.bounds, static_cast<double>(number->get()))) {
        return reading.refuse(ErrorCode::ConfigOutOfBounds, node);
    }
    return number->get();
}

std::optional<Value> readNumber(const toml::node &node, const Reading &reading)
{
    if (!node.is_number()) {
        return reading.refuse(ErrorCode::ConfigWrongType, node);
    }
    const auto number =
        node.is_integer() ? static_cast<double>(node.as_integer()->get()) : node.as_floating_point()->get();
    if (!within(reading.row.bounds, number)) {
        return reading.refuse(ErrorCode::ConfigOutOfBounds, node);
    }
    return number;
}

std::optional<Value> readBoolean(const toml::node &node, const Reading &reading)
{
    const auto *flag = node.as_boolean();
    if (flag == nullptr) {
        return reading.refuse(ErrorCode::ConfigWrongType, node);
    }
    return flag->get();
}

std::optional<Value> readString(const toml::node &node, const Reading &reading)
{
    const auto *text = node.as_string();
    if (text == nullptr) {
        return reading.refuse(ErrorCode::ConfigWrongType, node);
    }
    const auto &string = text->get();
    if (!within(reading.row.bounds, static_cast<double>(string.size())) || !matches(reading.row.format, string)) {
        return reading.refuse(ErrorCode::ConfigOutOfBounds, node);
    }
    return string;
}

/** Adds the element @p node to @p values, or its mistake to the reading's. */
void readElement(const toml::node &node, const Reading &reading, std::vector<std::string> &values)
{
    const auto *text = node.as_string();
    if (text == nullptr) {
        reading.refuse(ErrorCode::ConfigWrongType, node);
    } else if (!matches(reading.row.format, text->get())) {
        reading.refuse(ErrorCode::ConfigOutOfBounds, node);
    } else {
        values.push_back(text->get());
    }
}

std::optional<Value> readList(const toml::node &node, const Reading &reading)
{
    const auto *array = node.as_array();
    if (array == nullptr) {
        return reading.refuse(ErrorCode::ConfigWrongType, node);
    }
    if (!within(reading.row.bounds, static_cast<double>(array->size()))) {
        return reading.refuse(ErrorCode::ConfigOutOfBounds, node);
    }
    std::vector<std::string> values;
    std::set<std::string> seen;
    for (const auto &element : *array) {
        readElement(element, reading, values);
        if (element.is_string() && !seen.insert(element.as_string()->get()).second) {
            reading.mistakes.push_back(
                mistakeAt(ErrorCode::ConfigDuplicate, element.source(), reading.path, "elements that all differ"));
        }
    }
    return values;
}

std::optional<Value> readValue(const toml::node &node, const Reading &reading)
{
    switch (reading.row.type) {
    case ValueType::Integer:
        return readInteger(node, reading);
    case ValueType::Number:
        return readNumber(node, reading);
    case ValueType::Boolean:
        return readBoolean(node, reading);
    case ValueType::String:
        return readString(node, reading);
    case ValueType::StringList:
        return readList(node, reading);
    }
    return std::nullopt;
}

/** Whether a file may have a table called @p name at its top. */
bool isSectionName(std::string_view name)
{
    return !name.empty() && core::valueOf(SectionNames, name).has_value();
}

void refuseUnknownKeys(const toml::table &table, Section section, const std::string &path, Mistakes &mistakes)
{
    for (const auto &[name, node] : table) {
        const bool known =
            findKey(section, name.str()) != nullptr || (section == Section::File && isSectionName(name.str()));
        if (!known) {
            mistakes.push_back(mistakeAt(ErrorCode::ConfigUnknownKey,
                                         name.source(),
                                         dotted(path, name.str()),
                                         "a key that docs/CONFIGURATION.md lists"));
        }
    }
}

/** The table called @p name in @p root, if there is one; something else by that name is a mistake. */
const toml::table *findTable(const toml::table &root,
                             std::string_view parent,
                             std::string_view name,
                             Mistakes &mistakes)
{
    const auto *node = root.get(name);
    if (node != nullptr && !node->is_table()) {
        mistakes.push_back(
            mistakeAt(ErrorCode::ConfigWrongType, node->source(), dotted(parent, name), "a table of keys"));
        return nullptr;
    }
    return node == nullptr ? nullptr : node->as_table();
}

/** Calls @p read for each named table of @p section. */
void readNamed(const toml::table &root,
               Section section,
               const std::function<void(const std::string &, const std::string &, const toml::table &)> &read,
               Mistakes &mistakes)
{
    const auto sectionName = core::nameOf(SectionNames, section);
    const auto *entries = findTable(root, {}, sectionName, mistakes);
    if (entries == nullptr) {
        return;
    }
    for (const auto &[name, node] : *entries) {
        const auto path = dotted(sectionName, name.str());
        if (!matches(Format::Name, name.str())) {
            mistakes.push_back(mistakeAt(
                ErrorCode::ConfigOutOfBounds, name.source(), path, std::string(formatExpectation(Format::Name))));
        }
        if (const auto *table = findTable(*entries, sectionName, name.str(), mistakes)) {
            read(std::string(name.str()), path, *table);
        }
    }
}

} // namespace

Mistake mistakeAt(ErrorCode code, const toml::source_region &place, std::string key, std::string expected)
{
    return {code, place.begin.line, place.begin.column, std::move(key), std::move(expected)};
}

std::string dotted(std::string_view parent, std::string_view name)
{
    constexpr std::string_view Bare = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-";
    std::string shown(name);
    if (name.empty() || name.find_first_not_of(Bare) != std::string_view::npos) {
        shown.assign(1, '"');
        for (const char c : name) {
            if (c >= ' ' && c <= '~' && c != '"' && c != '\\') {
                shown.push_back(c);
            } else {
                shown += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
            }
        }
        shown.push_back('"');
    }
    return parent.empty() ? shown : fmt::format("{}.{}", parent, shown);
}

void readSection(
    const toml::table &table, Section section, const std::string &path, const ValueSetter &store, Mistakes &mistakes)
{
    refuseUnknownKeys(table, section, path, mistakes);
    for (const auto &row : keyTable()) {
        if (row.section != section) {
            continue;
        }
        const auto key = dotted(path, row.name);
        const auto *node = table.get(row.name);
        if (node == nullptr && std::holds_alternative<Required>(row.otherwise)) {
            mistakes.push_back(mistakeAt(ErrorCode::ConfigMissingKey, table.source(), key, expectation(row)));
        } else if (const auto value = node == nullptr ? defaultOf(row) : readValue(*node, {row, key, mistakes})) {
            store(row.key, *value);
        }
    }
}

Configuration readFile(const toml::table &root, Mistakes &mistakes)
{
    Configuration configuration;
    readSection(root, Section::File, {}, storeInto(configuration), mistakes);
    const auto limitsName = core::nameOf(SectionNames, Section::Limits);
    if (const auto *limits = findTable(root, {}, limitsName, mistakes)) {
        readSection(*limits, Section::Limits, std::string(limitsName), storeInto(configuration.limits), mistakes);
    }
    const auto readEntry = [&mistakes](Section section, auto &entries, auto makeName) {
        return [&mistakes, &entries, section, makeName](
                   const std::string &name, const std::string &path, const toml::table &table) {
            auto &entry = entries.emplace_back();
            makeName(entry, name);
            readSection(table, section, path, storeInto(entry), mistakes);
        };
    };
    const auto byName = [](auto &entry, const std::string &name) {
        entry.name = std::decay_t<decltype(entry.name)>(name);
    };
    const auto byId = [](ControlHost &host, const std::string &name) {
        host.id = core::HostId(name);
    };
    const auto institutions = readEntry(Section::Institution, configuration.institutions, byName);
    readNamed(root, Section::Institution, institutions, mistakes);
    readNamed(root, Section::ControlHost, readEntry(Section::ControlHost, configuration.controlHosts, byId), mistakes);
    readNamed(root, Section::Service, readEntry(Section::Service, configuration.services, byName), mistakes);
    return configuration;
}

} // namespace pimentoshed::configuration
