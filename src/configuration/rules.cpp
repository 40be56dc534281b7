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

/** A file under its rules. */
struct Scene {
    const toml::table &root;
    const Configuration &configuration;
    std::vector<Mistake> &mistakes;

    /** Reports @p key of the entry @p name, where the file gives it, else of the entry itself. */
    void report(ErrorCode code, Key key, const std::string &name, const std::string &expected) const
    {
        const auto &row = rowOf(key);
        const auto section = core::nameOf(SectionNames, row.section);
        const auto path = dotted(name.empty() ? section : dotted(section, name), row.name);
        const auto table = name.empty() ? root[section] : root[section][name];
        const auto value = table[row.name];
        const auto *node = value.node() != nullptr ? value.node() : table.node();
        const auto place = node != nullptr ? node->source() : root.source();
        mistakes.push_back(mistakeAt(code, place, path, expected));
    }
};

/** One rule; reports what breaks it. */
using Rule = std::function<void(const Scene &)>;

void institutionsExist(const Scene &scene)
{
    std::set<core::InstitutionName> known;
    for (const auto &institution : scene.configuration.institutions) {
        known.insert(institution.name);
    }
    for (const auto &service : scene.configuration.services) {
        if (!service.institution.empty() && !known.contains(service.institution)) {
            scene.report(ErrorCode::ConfigUnknownName,
                         Key::Institution,
                         service.name.str(),
                         "the name of an [institution.NAME]");
        }
    }
}

/** Sorted by prefix, whatever overlaps stands right behind the shortest prefix that it overlaps with. */
void prefixesAreDisjoint(const Scene &scene)
{
    std::multimap<std::string_view, const Service *> byPrefix;
    for (const auto &service : scene.configuration.services) {
        if (!service.pathPrefix.empty()) {
            byPrefix.emplace(service.pathPrefix, &service);
        }
    }
    const Service *owner = nullptr;
    for (const auto &[prefix, service] : byPrefix) {
        if (owner != nullptr && prefix.starts_with(owner->pathPrefix)) {
            scene.report(ErrorCode::ConfigDuplicate,
                         Key::PathPrefix,
                         service->name.str(),
                         fmt::format("a path prefix that does not overlap with service.{}", owner->name.str()));
        } else {
            owner = service;
        }
    }
}

void slotsBoundEachOther(const Scene &scene)
{
    for (const auto &service : scene.configuration.services) {
        if (service.coldSlots > service.slots) {
            scene.report(ErrorCode::ConfigOutOfBounds,
                         Key::ColdSlots,
                         service.name.str(),
                         fmt::format("at most slots, {}", service.slots));
        }
        if (service.connections < service.slots) {
            scene.report(ErrorCode::ConfigOutOfBounds,
                         Key::Connections,
                         service.name.str(),
                         fmt::format("at least slots, {}", service.slots));
        }
    }
}

void controlHostsDiffer(const Scene &scene)
{
    std::map<std::string, core::HostId> byAddress;
    for (const auto &host : scene.configuration.controlHosts) {
        const auto [found, fresh] = byAddress.try_emplace(host.address, host.id);
        if (!fresh && !host.address.empty()) {
            scene.report(ErrorCode::ConfigDuplicate,
                         Key::Address,
                         host.id.str(),
                         fmt::format("another address than that of control_host.{}", found->second.str()));
        }
    }
}

void controlHostsCanAgree(const Scene &scene)
{
    constexpr std::array<std::size_t, 5> Allowed{0, 1, 3, 5, 7};
    const auto count = scene.configuration.controlHosts.size();
    if (std::find(Allowed.begin(), Allowed.end(), count) == Allowed.end()) {
        const auto section = core::nameOf(SectionNames, Section::ControlHost);
        scene.mistakes.push_back(mistakeAt(ErrorCode::ConfigOutOfBounds,
                                           scene.root[section].node()->source(),
                                           std::string(section),
                                           fmt::format("1, 3, 5 or 7 control hosts, or none; here are {}", count)));
    }
}

void retentionOutlastsRequests(const Scene &scene)
{
    core::Duration longest{};
    for (const auto &service : scene.configuration.services) {
        longest = std::max(longest, service.deadline);
    }
    if (scene.configuration.limits.requestKeyRetention < 2 * longest) {
        const auto least = std::chrono::duration_cast<std::chrono::milliseconds>(2 * longest).count();
        scene.report(ErrorCode::ConfigOutOfBounds,
                     Key::RequestKeyRetention,
                     {},
                     fmt::format("at least twice the longest deadline, {} ms", least));
    }
}

} // namespace

void checkRules(const toml::table &root, const Configuration &configuration, std::vector<Mistake> &mistakes)
{
    static const std::array<Rule, 6> rules{institutionsExist,
                                           prefixesAreDisjoint,
                                           slotsBoundEachOther,
                                           controlHostsDiffer,
                                           controlHostsCanAgree,
                                           retentionOutlastsRequests};
    for (const auto &rule : rules) {
        rule({root, configuration, mistakes});
    }
}

} // namespace pimentoshed::configuration
