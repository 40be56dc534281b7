/**
 * @file
 * The state that the operators' changes lead to: the configuration file in force, the failure domains that are out of
 * service, and the answer to each change.
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

/** Whether a failure domain is out of service, and how often it was taken out or returned. */
struct DomainState {
    bool out = false;
    std::uint64_t changeCount = 0;

    bool operator==(const DomainState &) const = default;
};

/**
 * The active configuration, which hosts act on: a file and the state of the failure domains, under one revision. Two
 * active configurations with the same revision are equal.
 */
struct ActiveConfiguration {
    std::uint64_t revision = 0;
    std::uint64_t version = 0;
    std::string text;
    std::shared_ptr<const configuration::Configuration> configuration;
    /**
     * The failure domains of the file, and those of earlier files that were ever taken out of service or returned: a
     * file that drops a domain does not return it to service.
     */
    std::map<core::FailureDomain, DomainState> domains;
    /** The newest rollout of each service that has one. */
    std::map<core::ServiceName, rollouts::Rollout> rollouts;
};

/** The change that replaced a version of the file. */
struct VersionReplacement {
    std::uint64_t replaced = 0;
    core::ChangeId id;

    bool operator==(const VersionReplacement &) const = default;
};

/** The whole state of a ledger, for a snapshot. */
struct LedgerState {
    std::uint64_t revision = 0;
    std::uint64_t version = 0;
    std::string text;
    std::map<core::FailureDomain, DomainState> domains;
    /** For each failure domain, the change that last took it out of service or returned it. */
    std::map<core::FailureDomain, core::ChangeId> lastMoves;
    /** The changes that made the latest versions, oldest first; the last one made the version in force. */
    std::vector<VersionReplacement> replacements;
    std::vector<AnsweredChange> answers;
    std::vector<rollouts::Rollout> rollouts;

    bool operator==(const LedgerState &) const = default;
};

/**
 * The number of versions for which the change that replaced them is kept. It is named when another change of the same
 * version is refused.
 */
inline constexpr std::size_t MaxReplacements = 1024;
/** The number of failure domains whose state is kept, including those of earlier files. */
inline constexpr std::size_t MaxFailureDomains = 256;
/** The number of services whose newest rollout is kept, including services of earlier files. */
inline constexpr std::size_t MaxRollouts = 4096;
/** The maximum length of the id of a change, in characters. */
inline constexpr std::size_t MaxChangeIdLength = 128;

/**
 * Applies the operators' changes in order, as the state machine of the replicated log: equal ledgers that apply equal
 * changes stay equal. A change that is sent again gets its first answer; another change under the same id is refused.
 * A file never changes which failure domains are out of service. Not thread-safe.
 */
class Ledger
{
public:
    /** @p parser parses the configuration files. */
    explicit Ledger(configuration::FileParser parser = configuration::parse);

    /**
     * Applies @p change and returns its answer. Errors: MessageMalformed for an invalid id, ChangeIdReused for another
     * change under the same id, UnknownDomain, VersionConflict, ChangeSuperseded, ConfigOutOfBounds, NoSuchService,
     * RolloutRunning, and those of the parser.
     */
    Answer apply(const Change &change);

    /** Applies a decision about a rollout. Errors: NoSuchService, ChangeSuperseded. */
    Answer apply(const MoveRollout &decision);

    const ActiveConfiguration &activeConfiguration() const;

    LedgerState snapshot() const;

    /** Restores the ledger from its snapshot @p state. SnapshotDamaged if no ledger can have this state. */
    static core::Result<Ledger> restore(LedgerState state, configuration::FileParser parser = configuration::parse);

private:
    Answer applyNew(const ApplyFile &change);
    Answer applyNew(const SetDomainAvailability &change);
    Answer applyNew(const StartRollout &change);
    /** Ends the rollouts of services that @p file drops. */
    void endDroppedRollouts(const configuration::Configuration &file);
    Answer versionConflict(std::uint64_t replaces) const;
    /** Returns the state of the failure domains once @p file is in force. */
    std::map<core::FailureDomain, DomainState> carryOverDomains(const configuration::Configuration &file) const;
    bool isConfigured(const core::FailureDomain &domain) const;

    configuration::FileParser m_parser;
    ActiveConfiguration m_active;
    std::map<core::FailureDomain, core::ChangeId> m_lastMoves;
    std::deque<VersionReplacement> m_replacements;
    AnswerHistory m_answers;
};

/** Whether @p domain is out of service. */
bool isOutOfService(const ActiveConfiguration &active, const core::FailureDomain &domain);

} // namespace pimentoshed::changes
