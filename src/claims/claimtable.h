/**
 * @file
 * The claims on request keys: what makes a non-idempotent request run at most once in the whole system.
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

/** Characters of a request key. */
inline constexpr std::size_t MaxKeyLength = 128;
/** How long a released claim is remembered, so that a late copy of it is not granted. */
inline constexpr LogTime ReleasedRetention = std::chrono::seconds(60);

/** Released claims remembered; the oldest goes first. */
inline constexpr std::size_t MaxReleasedClaims = 10000;

/** A table's whole state but its policy, for a snapshot. */
struct ClaimState {
    LogTime now{};
    /** Held claims, from the oldest on. */
    std::vector<ClaimRecord> held;
    /** Released claims, from the oldest on. */
    std::vector<ClaimRecord> released;

    bool operator==(const ClaimState &) const = default;
};

/**
 * Applies commands in order; equal tables that apply equal commands stay equal. A key that is granted to one attempt
 * is granted to no other before its retention ends, unless that attempt released it. A full share refuses; it never
 * forgets a claim early. No clock, no lock: the caller serialises commands.
 */
class ClaimTable
{
public:
    ClaimTable() = default;
    ClaimTable(const ClaimTable &) = delete;
    ClaimTable &operator=(const ClaimTable &) = delete;
    ClaimTable(ClaimTable &&) noexcept = default;
    ClaimTable &operator=(ClaimTable &&) noexcept = default;

    /** Claims that exist stay, also where a share is now smaller. */
    void configure(Policy policy);

    ClaimResponse apply(const Claim &command);

    /** Whether the attempt held the claim and its run had not ended. */
    bool apply(const Release &command);

    /** Whether the attempt holds the claim. What is known to have run stays so. */
    bool apply(const Finish &command);

    /** Claims held or lately released. */
    std::size_t size() const;

    ClaimState snapshot() const;

    static ClaimTable restore(const ClaimState &state, Policy policy);

private:
    /** One claim; names that repeat are held in the pools. */
    struct Entry {
        const core::ServiceName *service;
        /** Whose share the claim counts in; nullptr once it is released. */
        const core::InstitutionName *institution;
        const core::HostId *host;
        core::RequestKey key;
        std::uint64_t incarnation;
        std::uint64_t attempt;
        LogTime since;
        RunState state;
    };
    using Entries = std::list<Entry>;
    using Place = Entries::iterator;

    struct Hash {
        using is_transparent = void;
        std::size_t operator()(const RequestIdentity &request) const noexcept;
        std::size_t operator()(const Place &place) const noexcept;
    };
    struct Equal {
        using is_transparent = void;
        bool operator()(const Place &left, const Place &right) const noexcept;
        bool operator()(const RequestIdentity &request, const Place &place) const noexcept;
        bool operator()(const Place &place, const RequestIdentity &request) const noexcept;
    };

    void advance(LogTime at);
    void dropFront(Entries &entries);
    void add(Entries &entries, const ClaimRecord &record);
    /** The claim on @p request by @p attempt that is not released, or nullptr. */
    Entry *findHeld(const RequestIdentity &request, const Attempt &attempt);
    static bool isBy(const Entry &entry, const Attempt &attempt);
    static ClaimRecord recordOf(const Entry &entry);

    Policy m_policy;
    LogTime m_now{};
    NamePool<core::ServiceName> m_services;
    NamePool<core::InstitutionName> m_institutions;
    NamePool<core::HostId> m_hosts;
    /** Both in the order of their times. */
    Entries m_held;
    Entries m_released;
    std::unordered_set<Place, Hash, Equal> m_index;
};

} // namespace pimentoshed::claims
