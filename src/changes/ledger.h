/**
 * @file
 * The operators' accepted changes: which file is in force, which failure domains are out, what each change was
 * answered.
 */
#pragma once

#include "configuration/model.h"
#include "core/error.h"
#include "core/ids.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace pimentoshed::changes
{

/** Puts a whole file into force. */
struct ApplyFile {
    core::ChangeId id;
    std::string text;

    bool operator==(const ApplyFile &) const = default;
};

/** Takes a failure domain out of service, or returns it. */
struct MoveDomain {
    core::ChangeId id;
    core::FailureDomain domain;
    bool out = false;
    /** The domain's change count this change was made against; it is refused where that has moved on. */
    std::uint64_t replaces = 0;

    bool operator==(const MoveDomain &) const = default;
};

using Change = std::variant<ApplyFile, MoveDomain>;

/** What an accepted change led to. */
struct Accepted {
    /** Counts every accepted change of any kind. */
    std::uint64_t revision = 0;
    /** The version of the file in force. */
    std::uint64_t version = 0;

    bool operator==(const Accepted &) const = default;
};

using Answer = core::Result<Accepted>;

/** Whether a failure domain is out of service, and how often that has changed. */
struct DomainStanding {
    bool out = false;
    std::uint64_t changes = 0;

    bool operator==(const DomainStanding &) const = default;
};

/** What hosts act on: a file and the domains that are out, under one revision. */
struct Standing {
    std::uint64_t revision = 0;
    std::uint64_t version = 0;
    std::string text;
    std::shared_ptr<const configuration::Configuration> configuration;
    std::map<core::FailureDomain, DomainStanding> domains;
};

/**
 * Applies changes in order. Equal ledgers that apply equal changes stay equal. A change sent again gets its first
 * answer. A file never changes which failure domains are out.
 */
class Ledger
{
public:
    Answer apply(const Change &change);

    const Standing &standing() const;

private:
    Answer applyNew(const ApplyFile &change);
    Answer applyNew(const MoveDomain &change);
    void remember(const core::ChangeId &id, const Answer &answer);

    Standing m_standing;
    core::ChangeId m_winner;
    std::map<core::ChangeId, Answer> m_answers;
    std::deque<core::ChangeId> m_answerOrder;
};

/** Whether @p domain is out of service in @p standing. */
bool isOut(const Standing &standing, const core::FailureDomain &domain);

} // namespace pimentoshed::changes
