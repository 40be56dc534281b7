/**
 * @file
 * Callers that send requests through entry hosts for the whole soak, on kept connections.
 */
#pragma once

#include "core/enumtable.h"
#include "core/random.h"
#include "soak/fleet.h"
#include "soak/records.h"

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace pimentoshed::soak
{

enum class CallerHabit : std::uint8_t {
    /** Searches and loans one after the other, each after the response to the one before it. */
    OneByOne,
    /** Several searches at once. */
    Pipelining,
    /**
     * Searches and loans with pauses. A connection that a response has closed is kept, and requests are sent on it,
     * until the host's process has ended.
     */
    Lingering,
};

inline constexpr std::array CallerHabitNames{
    core::EnumName<CallerHabit>{CallerHabit::OneByOne, "one-by-one"},
    core::EnumName<CallerHabit>{CallerHabit::Pipelining, "pipelining"},
    core::EnumName<CallerHabit>{CallerHabit::Lingering, "lingering"},
};

/**
 * Runs @p count callers of the first habit, and as many of the others, each in a thread. A caller asks an entry host
 * for addresses, and keeps them for as long as it may. Thread-safe.
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
    void start(unsigned number, CallerHabit habit, std::uint64_t seed);
    void run(unsigned number, CallerHabit habit, const core::RandomSource &random);
    void record(std::vector<CallerRequest> requests);

    const Fleet &m_fleet;
    std::atomic<bool> m_isStopping{false};
    mutable std::mutex m_mutex;
    std::vector<CallerRequest> m_requests;
    std::vector<std::thread> m_threads;
};

} // namespace pimentoshed::soak
