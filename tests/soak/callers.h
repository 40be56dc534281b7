/**
 * @file
 * Callers that send requests through entry hosts for the whole soak, on kept connections.
 */
#pragma once

#include "core/random.h"
#include "soak/fleet.h"
#include "soak/records.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace pimentoshed::soak
{

/**
 * Runs each caller in a thread. A caller asks an entry host for addresses, keeps them for as long as it may, and sends
 * searches and loans one after the other. Thread-safe.
 */
class Callers
{
public:
    Callers(const Fleet &fleet, unsigned count, std::uint64_t seed);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /** Ends all callers after their present requests. */
    void stop();

    /** The requests that have ended so far. */
    std::vector<CallerRequest> requests() const;

private:
    void run(unsigned number, const core::RandomSource &random);
    void record(CallerRequest request);

    const Fleet &m_fleet;
    std::atomic<bool> m_isStopping{false};
    mutable std::mutex m_mutex;
    std::vector<CallerRequest> m_requests;
    std::vector<std::thread> m_threads;
};

} // namespace pimentoshed::soak
