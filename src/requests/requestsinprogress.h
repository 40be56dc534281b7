/**
 * @file
 * The requests in progress at one host, so that a stop can name those that it cuts.
 */
#pragma once

#include "core/enumtable.h"
#include "core/ids.h"
#include "core/rankedmutex.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoshed::requests
{

/** What a request in progress waits for. */
enum class RequestPhase : std::uint8_t {
    /** To be assigned a target. */
    Assignment,
    /** For the response of its target. */
    Response,
};

inline constexpr std::array RequestPhaseNames{
    core::EnumName<RequestPhase>{RequestPhase::Assignment, "assignment"},
    core::EnumName<RequestPhase>{RequestPhase::Response, "response"},
};

/** A request in progress. */
struct RequestInProgress {
    /** The ID that the caller gave the request. */
    std::string id;
    core::TimePoint arrival{};
    core::TimePoint deadline{};
    RequestPhase phase = RequestPhase::Assignment;
    /** When the phase began. */
    core::TimePoint phaseStart{};
    /** The target that the request was last sent to, if any, and its service. */
    std::optional<core::TargetId> target;
    core::ServiceName service;
};

/** Table of the requests in progress. Thread-safe; lock rank Requests. */
class RequestsInProgress
{
public:
    /** The row of one request, which is removed with this object. */
    class Row
    {
    public:
        Row(RequestsInProgress &table, RequestInProgress request);
        ~Row();
        Row(const Row &) = delete;
        Row &operator=(const Row &) = delete;

        /** Records that the request is sent to @p target of @p service at @p now. */
        void sendTo(const core::TargetId &target, const core::ServiceName &service, core::TimePoint now);
        /** Records that the request needs another target from @p now on. */
        void awaitAssignment(core::TimePoint now);

    private:
        RequestsInProgress &m_table;
        const std::uint64_t m_number;
    };

    /** Returns all rows, the request that arrived first at the front. */
    std::vector<RequestInProgress> all() const;

private:
    std::uint64_t add(RequestInProgress request);

    mutable core::RankedMutex m_mutex{core::LockRank::Requests};
    std::map<std::uint64_t, RequestInProgress> m_rows;
    std::uint64_t m_nextNumber = 0;
};

} // namespace pimentoshed::requests
