/**
 * @file
 * Plays many targets from one process: announces them and renews them.
 */
#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace pimentoshed::bench
{

/** How many targets of how many services to play, and where. */
struct AnnouncerSettings {
    unsigned targets = 0;
    unsigned services = 1;
    std::vector<std::string> entryAddresses;
};

/** Renews each target once a period, each at one entry host, until it goes. */
class Announcer
{
public:
    explicit Announcer(AnnouncerSettings settings);
    ~Announcer();
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;

private:
    void run(unsigned thread);
    void announce(unsigned target) const;

    const AnnouncerSettings m_settings;
    std::atomic<bool> m_stopped{false};
    std::vector<std::thread> m_threads;
};

} // namespace pimentoshed::bench
