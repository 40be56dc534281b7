/**
 * @file
 * Operators that change the configuration for the whole soak, and an observer that reads every host's state.
 */
#pragma once

#include "core/random.h"
#include "soak/fleet.h"
#include "soak/records.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pimentoshed::soak
{

/** What an operator does. */
struct OperatorHabit {
    /** Prefix of the ids of its changes. */
    std::string name;
    /** Whether it takes failure domains out and returns them. */
    bool changesDomains = false;
    /** Time between two changes. */
    std::function<std::chrono::milliseconds(const core::RandomSource &)> pause;
};

/** Changes now and then, failure domains too. */
OperatorHabit calmOperator();
/** Applies files in series. */
OperatorHabit hastyOperator();

/** Applies files, and takes failure domains out and returns them, at any control host. Thread-safe. */
class Operator
{
public:
    Operator(const Fleet &fleet, OperatorHabit habit, std::uint64_t seed);
    ~Operator();
    Operator(const Operator &) = delete;
    Operator &operator=(const Operator &) = delete;

    void stop();

    std::vector<AcknowledgedChange> changes() const;
    std::vector<DomainOutage> outages() const;

private:
    void run();
    void applyFile();
    /** Takes a domain out, or returns the one that is out. */
    void changeDomain();
    /** Sends a change until it gets a clear answer. Returns whether it was acknowledged. */
    bool send(const std::string &path, const std::string &body);
    bool setDomainOut(const std::string &domain, bool out);

    const Fleet &m_fleet;
    const OperatorHabit m_habit;
    const core::RandomSource m_random;
    std::atomic<bool> m_isStopping{false};
    unsigned m_changeCount = 0;
    std::optional<std::string> m_outDomain;
    mutable std::mutex m_mutex;
    std::vector<AcknowledgedChange> m_changes;
    std::vector<DomainOutage> m_outages;
    std::thread m_thread;
};

/** Reads the state of every host in turn. Thread-safe. */
class Observer
{
public:
    explicit Observer(const Fleet &fleet);
    ~Observer();
    Observer(const Observer &) = delete;
    Observer &operator=(const Observer &) = delete;

    void stop();

    std::vector<RevisionRead> reads() const;

private:
    void run();
    void read(const std::string &host, const std::string &address);

    const Fleet &m_fleet;
    std::atomic<bool> m_isStopping{false};
    mutable std::mutex m_mutex;
    std::vector<RevisionRead> m_reads;
    std::thread m_thread;
};

} // namespace pimentoshed::soak
