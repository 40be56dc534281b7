/**
 * @file
 * The claims on request keys, by which a non-idempotent request runs at most once in the whole system.
 */
#pragma once

#include "claims/claim.h"
#include "claims/namepool.h"
#include "claims/policy.h"

#include <cstddef>
#include <list>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace pimentoshed::claims
{

/** Maximum length of a request key, in characters. */
inline constexpr std::size_t MaxKeyLength = 128;
/** How long a released claim is kept, so that a late duplicate of the claim is not granted. */
inline constexpr LogTime ReleasedRetention = std::chrono::seconds(60);

/** Maximum number of released claims kept. Beyond it the oldest is dropped. */
inline constexpr std::size_t MaxReleasedClaims = 10000;

/** The complete state of a table except for its policy, for a snapshot. */
struct ClaimState {
    LogTime now{};
    /** Claims held, the oldest first. */
    std::vector<ClaimRecord> held;
    /** Released claims, the oldest first. */
    std::vector<ClaimRecord> released;

    bool operator==(const ClaimState &) const = default;
};

/**
 * Applies commands in order. Deterministic: equal tables that apply equal commands stay equal. A key that is granted to
 * one attempt is granted to no other before the retention ends, unless that attempt released it. If an institution's
 * share is full, new claims are refused; no claim is dropped early to make space. Reads no clock and takes no lock: the
 * caller must serialise commands.
 */
class ClaimTable
{
public:
    ClaimTable() = default;
    ClaimTable(const ClaimTable &) = delete;
    ClaimTable &operator=(const ClaimTable &) = delete;
    ClaimTable(ClaimTable &&) noexcept = default;
    ClaimTable &operator=(ClaimTable &&) noexcept = default;

    /** Sets the policy. Existing claims are kept even if they exceed a share that is now smaller. */
    void configure(Policy policy);

    ClaimResponse apply(const Claim &command);

    /** Returns whether the claim was released: the attempt held it and was still running. */
    bool apply(const Release &command);

    /** Returns whether the attempt holds the claim. A state of Ran is never changed back. */
    bool apply(const Finish &command);

    /** Returns the number of claims held and of released claims kept. */
    std::size_t size() const;

    ClaimState snapshot() const;

    static ClaimTable restore(const ClaimState &state, Policy policy);

private:
    /** One claim. Its pointers refer to names in the pools, which store each name once. */
    struct Entry {
        const core::ServiceName *service;
        /** The institution whose share the claim is counted in; nullptr once the claim is released. */
        const core::InstitutionName *institution;
        const core::HostId *host;
        core::RequestKey key;
        std::uint64_t incarnation;
        std::uint64_t attempt;
        LogTime since;
        RunState state;
    };
    using Entries = std::list<Entry>;
    using EntryIterator = Entries::iterator;

    struct Hash {
        using is_transparent = void;
        std::size_t operator()(const RequestIdentity &request) const noexcept;
        std::size_t operator()(const EntryIterator &position) const noexcept;
    };
    struct Equal {
        using is_transparent = void;
        bool operator()(const EntryIterator &left, const EntryIterator &right) const noexcept;
        bool operator()(const RequestIdentity &request, const EntryIterator &position) const noexcept;
        bool operator()(const EntryIterator &position, const RequestIdentity &request) const noexcept;
    };

    void advance(LogTime at);
    void dropFront(Entries &entries);
    void add(Entries &entries, const ClaimRecord &record);
    /** Returns the claim on @p request by @p attempt, or nullptr if there is none or it is released. */
    Entry *findHeld(const RequestIdentity &request, const Attempt &attempt);
    static bool isBy(const Entry &entry, const Attempt &attempt);
    static ClaimRecord recordOf(const Entry &entry);

    Policy m_policy;
    LogTime m_now{};
    NamePool<core::ServiceName> m_services;
    NamePool<core::InstitutionName> m_institutions;
    NamePool<core::HostId> m_hosts;
    /** Both lists are in the order of Entry::since. */
    Entries m_held;
    Entries m_released;
    std::unordered_set<EntryIterator, Hash, Equal> m_index;
};

} // namespace pimentoshed::claims
