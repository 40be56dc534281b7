/**
 * @file
 * The operators' accepted changes: which file is in force, which failure domains are out, what each change was
 * answered.
 */
#pragma once

#include "changes/answerhistory.h"
#include "changes/change.h"
#include "configuration/parser.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pimentoshed::changes
{

/** Whether a failure domain is out of service, and how often that has changed. */
struct DomainState {
    bool out = false;
    std::uint64_t changeCount = 0;

    bool operator==(const DomainState &) const = default;
};

/** What hosts act on: a file and the domains that are out, under one revision. Equal revisions are equal standings. */
struct ActiveConfiguration {
    std::uint64_t revision = 0;
    std::uint64_t version = 0;
    std::string text;
    std::shared_ptr<const configuration::Configuration> configuration;
    /** Those of the file, and those of earlier files that were ever moved: a file that drops one does not return it. */
    std::map<core::FailureDomain, DomainState> domains;
};

/** Which change replaced a version. */
struct VersionReplacement {
    std::uint64_t replaced = 0;
    core::ChangeId id;

    bool operator==(const VersionReplacement &) const = default;
};

/** A ledger's whole state, for a snapshot. */
struct LedgerState {
    std::uint64_t revision = 0;
    std::uint64_t version = 0;
    std::string text;
    std::map<core::FailureDomain, DomainState> domains;
    /** The change that last moved each failure domain. */
    std::map<core::FailureDomain, core::ChangeId> lastMoves;
    /** The changes that made the latest versions; the last made the version in force. */
    std::vector<VersionReplacement> replacements;
    std::vector<AnsweredChange> answers;

    bool operator==(const LedgerState &) const = default;
};

/** Versions whose winners are kept, to be named to those that lost. */
inline constexpr std::size_t MaxReplacements = 1024;
/** Failure domains whose standing is kept, those of earlier files among them. */
inline constexpr std::size_t MaxFailureDomains = 256;
/** Characters in the name of a change. */
inline constexpr std::size_t MaxChangeIdLength = 128;

/**
 * Applies changes in order. Equal ledgers that apply equal changes stay equal. A change sent again gets its first
 * answer; another change under its name is refused. A file never changes which failure domains are out.
 */
class Ledger
{
public:
    /** @p parser reads the operators' files. */
    explicit Ledger(configuration::FileParser parser = configuration::parse);

    Answer apply(const Change &change);

    const ActiveConfiguration &activeConfiguration() const;

    LedgerState snapshot() const;

    /** The ledger whose snapshot @p state was, or SnapshotDamaged where no ledger has such a state. */
    static core::Result<Ledger> restore(LedgerState state, configuration::FileParser parser = configuration::parse);

private:
    Answer applyNew(const ApplyFile &change);
    Answer applyNew(const SetDomainAvailability &change);
    Answer conflict(std::uint64_t replaces) const;
    /** The domains' standings under @p file. */
    std::map<core::FailureDomain, DomainState> carryOver(const configuration::Configuration &file) const;
    bool isConfigured(const core::FailureDomain &domain) const;

    configuration::FileParser m_parser;
    ActiveConfiguration m_standing;
    std::map<core::FailureDomain, core::ChangeId> m_movers;
    std::deque<VersionReplacement> m_winners;
    AnswerHistory m_answers;
};

/** Whether @p domain is out of service in @p standing. */
bool isOutOfService(const ActiveConfiguration &standing, const core::FailureDomain &domain);

} // namespace pimentoshed::changes
