#include "configuration/rules.h"

#include "configuration/reader.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace pimentoshed::configuration
{

namespace
{

using core::ErrorCode;

/** The file that is checked, and the list of mistakes. */
struct RuleContext {
    const toml::table &root;
    const Configuration &configuration;
    std::vector<Mistake> &mistakes;

    /**
     * Adds a mistake at the position of @p key in the table [section.name], or of the table itself if the file doesn't
     * contain the key. @p name is empty for sections without named tables.
     */
    void report(ErrorCode code, Key key, const std::string &name, const std::string &expected) const
    {
        const auto &row = rowOf(key);
        const auto section = core::nameOf(SectionNames, row.section);
        const auto path = dottedKey(name.empty() ? section : dottedKey(section, name), row.name);
        const auto table = name.empty() ? root[section] : root[section][name];
        const auto value = table[row.name];
        const auto *node = value.node() != nullptr ? value.node() : table.node();
        const auto region = node != nullptr ? node->source() : root.source();
        mistakes.push_back(mistakeAt(code, region, path, expected));
    }
};

/** Checks one rule, and reports every violation. */
using Rule = std::function<void(const RuleContext &)>;

void institutionsExist(const RuleContext &context)
{
    std::set<core::InstitutionName> known;
    for (const auto &institution : context.configuration.institutions) {
        known.insert(institution.name);
    }
    for (const auto &service : context.configuration.services) {
        if (!service.institution.empty() && !known.contains(service.institution)) {
            context.report(ErrorCode::ConfigUnknownName,
                           Key::Institution,
                           service.name.str(),
                           "the name of an [institution.NAME]");
        }
    }
}

/** In sorted order, the prefixes that start with a given prefix follow it directly, so one pass finds all overlaps. */
void prefixesAreDisjoint(const RuleContext &context)
{
    std::multimap<std::string_view, const Service *> byPrefix;
    for (const auto &service : context.configuration.services) {
        if (!service.pathPrefix.empty()) {
            byPrefix.emplace(service.pathPrefix, &service);
        }
    }
    const Service *owner = nullptr;
    for (const auto &[prefix, service] : byPrefix) {
        if (owner != nullptr && prefix.starts_with(owner->pathPrefix)) {
            context.report(ErrorCode::ConfigDuplicate,
                           Key::PathPrefix,
                           service->name.str(),
                           fmt::format("a path prefix that does not overlap with service.{}", owner->name.str()));
        } else {
            owner = service;
        }
    }
}

void slotLimitsAreConsistent(const RuleContext &context)
{
    for (const auto &service : context.configuration.services) {
        if (service.coldSlots > service.slots) {
            context.report(ErrorCode::ConfigOutOfBounds,
                           Key::ColdSlots,
                           service.name.str(),
                           fmt::format("at most slots, {}", service.slots));
        }
        if (service.connections < service.slots) {
            context.report(ErrorCode::ConfigOutOfBounds,
                           Key::Connections,
                           service.name.str(),
                           fmt::format("at least slots, {}", service.slots));
        }
    }
}

/** Reports a shared key at its place in the later workspace, without the key itself. */
void workspaceKeysDiffer(const RuleContext &context)
{
    const auto section = core::nameOf(SectionNames, Section::Workspace);
    const auto keysName = rowOf(Key::WorkspaceKeys).name;
    std::map<std::string_view, core::WorkspaceName> owners;
    for (const auto &workspace : context.configuration.workspaces) {
        const auto *keys = context.root[section][workspace.name.str()][keysName].as_array();
        if (keys == nullptr) {
            continue;
        }
        for (const auto &element : *keys) {
            const auto *key = element.as_string();
            if (key == nullptr) {
                continue;
            }
            const auto [owner, isNew] = owners.try_emplace(key->get(), workspace.name);
            if (!isNew && owner->second != workspace.name) {
                context.mistakes.push_back(
                    mistakeAt(ErrorCode::ConfigDuplicate,
                              element.source(),
                              dottedKey(dottedKey(section, workspace.name.str()), keysName),
                              fmt::format("a key that workspace.{} does not have", owner->second.str())));
            }
        }
    }
}

void controlHostsDiffer(const RuleContext &context)
{
    std::map<std::string, core::HostId> byAddress;
    for (const auto &host : context.configuration.controlHosts) {
        const auto [found, isNew] = byAddress.try_emplace(host.address, host.id);
        if (!isNew && !host.address.empty()) {
            context.report(ErrorCode::ConfigDuplicate,
                           Key::Address,
                           host.id.str(),
                           fmt::format("another address than that of control_host.{}", found->second.str()));
        }
    }
}

void controlHostCountIsAllowed(const RuleContext &context)
{
    constexpr std::array<std::size_t, 5> Allowed{0, 1, 3, 5, 7};
    const auto count = context.configuration.controlHosts.size();
    if (std::find(Allowed.begin(), Allowed.end(), count) == Allowed.end()) {
        const auto section = core::nameOf(SectionNames, Section::ControlHost);
        context.mistakes.push_back(mistakeAt(ErrorCode::ConfigOutOfBounds,
                                             context.root[section].node()->source(),
                                             std::string(section),
                                             fmt::format("1, 3, 5 or 7 control hosts, or none; here are {}", count)));
    }
}

void retentionCoversDeadlines(const RuleContext &context)
{
    const auto longest = longestDeadline(context.configuration);
    if (context.configuration.limits.requestKeyRetention < 2 * longest) {
        const auto least = std::chrono::duration_cast<std::chrono::milliseconds>(2 * longest).count();
        context.report(ErrorCode::ConfigOutOfBounds,
                       Key::RequestKeyRetention,
                       {},
                       fmt::format("at least twice the longest deadline, {} ms", least));
    }
}

} // namespace

void checkRules(const toml::table &root, const Configuration &configuration, std::vector<Mistake> &mistakes)
{
    static const std::array<Rule, 7> rules{institutionsExist,
                                           workspaceKeysDiffer,
                                           prefixesAreDisjoint,
                                           slotLimitsAreConsistent,
                                           controlHostsDiffer,
                                           controlHostCountIsAllowed,
                                           retentionCoversDeadlines};
    for (const auto &rule : rules) {
        rule({root, configuration, mistakes});
    }
}

} // namespace pimentoshed::configuration
