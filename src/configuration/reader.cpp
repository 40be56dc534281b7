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

/** What is needed to read the value of one key: the key's row, its dotted path, and the list of mistakes. */
struct KeyContext {
    const KeyRow &row;
    const std::string &path;
    Mistakes &mistakes;

    /** Adds a mistake at the position of @p node. */
    std::nullopt_t addMistake(ErrorCode code, const toml::node &node) const
    {
        mistakes.push_back(mistakeAt(code, node.source(), path, describeExpectedValue(row)));
        return std::nullopt;
    }
};

bool isWithin(const Bounds &bounds, double number)
{
    return number >= bounds.lower && number <= bounds.upper;
}

std::optional<Value> readInteger(const toml::node &node, const KeyContext &context)
{
    const auto *number = node.as_integer();
    if (number == nullptr) {
        return context.addMistake(ErrorCode::ConfigWrongType, node);
    }
    if (!isWithin(context.row.bounds, static_cast<double>(number->get()))) {
        return context.addMistake(ErrorCode::ConfigOutOfBounds, node);
    }
    return number->get();
}

std::optional<Value> readNumber(const toml::node &node, const KeyContext &context)
{
    if (!node.is_number()) {
        return context.addMistake(ErrorCode::ConfigWrongType, node);
    }
    const auto number =
        node.is_integer() ? static_cast<double>(node.as_integer()->get()) : node.as_floating_point()->get();
    if (!isWithin(context.row.bounds, number)) {
        return context.addMistake(ErrorCode::ConfigOutOfBounds, node);
    }
    return number;
}

std::optional<Value> readBoolean(const toml::node &node, const KeyContext &context)
{
    const auto *flag = node.as_boolean();
    if (flag == nullptr) {
        return context.addMistake(ErrorCode::ConfigWrongType, node);
    }
    return flag->get();
}

std::optional<Value> readString(const toml::node &node, const KeyContext &context)
{
    const auto *text = node.as_string();
    if (text == nullptr) {
        return context.addMistake(ErrorCode::ConfigWrongType, node);
    }
    const auto &string = text->get();
    if (!isWithin(context.row.bounds, static_cast<double>(string.size())) || !matches(context.row.format, string)) {
        return context.addMistake(ErrorCode::ConfigOutOfBounds, node);
    }
    return string;
}

/** Adds the list element @p node to @p values, or reports it as a mistake. */
void readElement(const toml::node &node, const KeyContext &context, std::vector<std::string> &values)
{
    const auto *text = node.as_string();
    if (text == nullptr) {
        context.addMistake(ErrorCode::ConfigWrongType, node);
    } else if (!matches(context.row.format, text->get())) {
        context.addMistake(ErrorCode::ConfigOutOfBounds, node);
    } else {
        values.push_back(text->get());
    }
}

std::optional<Value> readList(const toml::node &node, const KeyContext &context)
{
    const auto *array = node.as_array();
    if (array == nullptr) {
        return context.addMistake(ErrorCode::ConfigWrongType, node);
    }
    if (!isWithin(context.row.bounds, static_cast<double>(array->size()))) {
        return context.addMistake(ErrorCode::ConfigOutOfBounds, node);
    }
    std::vector<std::string> values;
    std::set<std::string> seen;
    for (const auto &element : *array) {
        readElement(element, context, values);
        if (element.is_string() && !seen.insert(element.as_string()->get()).second) {
            context.mistakes.push_back(
                mistakeAt(ErrorCode::ConfigDuplicate, element.source(), context.path, "elements that all differ"));
        }
    }
    return values;
}

std::optional<Value> readValue(const toml::node &node, const KeyContext &context)
{
    switch (context.row.type) {
    case ValueType::Integer:
        return readInteger(node, context);
    case ValueType::Number:
        return readNumber(node, context);
    case ValueType::Boolean:
        return readBoolean(node, context);
    case ValueType::String:
        return readString(node, context);
    case ValueType::StringList:
        return readList(node, context);
    }
    return std::nullopt;
}

/** Whether a file may have a top-level table called @p name. */
bool isSectionName(std::string_view name)
{
    return !name.empty() && core::valueOf(SectionNames, name).has_value();
}

void reportUnknownKeys(const toml::table &table, Section section, const std::string &path, Mistakes &mistakes)
{
    for (const auto &[name, node] : table) {
        const bool isKnown =
            findKey(section, name.str()) != nullptr || (section == Section::File && isSectionName(name.str()));
        if (!isKnown) {
            mistakes.push_back(mistakeAt(ErrorCode::ConfigUnknownKey,
                                         name.source(),
                                         dottedKey(path, name.str()),
                                         "a key that docs/CONFIGURATION.md lists"));
        }
    }
}

/** Returns the table called @p name in @p root, or nullptr; a value of that name that is no table is a mistake. */
const toml::table *findTable(const toml::table &root,
                             std::string_view parent,
                             std::string_view name,
                             Mistakes &mistakes)
{
    const auto *node = root.get(name);
    if (node != nullptr && !node->is_table()) {
        mistakes.push_back(
            mistakeAt(ErrorCode::ConfigWrongType, node->source(), dottedKey(parent, name), "a table of keys"));
        return nullptr;
    }
    return node == nullptr ? nullptr : node->as_table();
}

/** Calls @p read with the name, dotted path and contents of each table [section.NAME]. */
void readNamedTables(const toml::table &root,
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
        const auto path = dottedKey(sectionName, name.str());
        if (!matches(Format::Name, name.str())) {
            mistakes.push_back(mistakeAt(
                ErrorCode::ConfigOutOfBounds, name.source(), path, std::string(describeFormat(Format::Name))));
        }
        if (const auto *table = findTable(*entries, sectionName, name.str(), mistakes)) {
            read(std::string(name.str()), path, *table);
        }
    }
}

} // namespace

Mistake mistakeAt(ErrorCode code, const toml::source_region &region, std::string key, std::string expected)
{
    return {code, region.begin.line, region.begin.column, std::move(key), std::move(expected)};
}

std::string dottedKey(std::string_view parent, std::string_view name)
{
    constexpr std::string_view BareKeyCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-";
    std::string shown(name);
    if (name.empty() || name.find_first_not_of(BareKeyCharacters) != std::string_view::npos) {
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
    const toml::table &table, Section section, const std::string &path, const ValueSetter &setValue, Mistakes &mistakes)
{
    reportUnknownKeys(table, section, path, mistakes);
    for (const auto &row : keyTable()) {
        if (row.section != section) {
            continue;
        }
        const auto key = dottedKey(path, row.name);
        const auto *node = table.get(row.name);
        if (node == nullptr && std::holds_alternative<Required>(row.defaultValue)) {
            mistakes.push_back(mistakeAt(ErrorCode::ConfigMissingKey, table.source(), key, describeExpectedValue(row)));
        } else if (node == nullptr && std::holds_alternative<Unset>(row.defaultValue)) {
            continue;
        } else if (const auto value = node == nullptr ? defaultOf(row) : readValue(*node, {row, key, mistakes})) {
            setValue(row.key, *value);
        }
    }
}

Configuration readConfiguration(const toml::table &root, Mistakes &mistakes)
{
    Configuration configuration;
    readSection(root, Section::File, {}, setterFor(configuration), mistakes);
    const auto limitsName = core::nameOf(SectionNames, Section::Limits);
    if (const auto *limits = findTable(root, {}, limitsName, mistakes)) {
        readSection(*limits, Section::Limits, std::string(limitsName), setterFor(configuration.limits), mistakes);
    }
    const auto entryReader = [&mistakes](Section section, auto &entries, auto setIdentity) {
        return [&mistakes, &entries, section, setIdentity](
                   const std::string &name, const std::string &path, const toml::table &table) {
            auto &entry = entries.emplace_back();
            setIdentity(entry, name);
            readSection(table, section, path, setterFor(entry), mistakes);
        };
    };
    const auto setName = [](auto &entry, const std::string &name) {
        entry.name = std::decay_t<decltype(entry.name)>(name);
    };
    const auto setId = [](ControlHost &host, const std::string &name) {
        host.id = core::HostId(name);
    };
    const auto institutions = entryReader(Section::Institution, configuration.institutions, setName);
    readNamedTables(root, Section::Institution, institutions, mistakes);
    readNamedTables(
        root, Section::Workspace, entryReader(Section::Workspace, configuration.workspaces, setName), mistakes);
    readNamedTables(
        root, Section::ControlHost, entryReader(Section::ControlHost, configuration.controlHosts, setId), mistakes);
    readNamedTables(root, Section::Service, entryReader(Section::Service, configuration.services, setName), mistakes);
    return configuration;
}

} // namespace pimentoshed::configuration
