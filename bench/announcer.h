/**
 * @file
 * Simulates the announcements of many targets from one process.
 */
#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace pimentoshed::bench
{

/** Numbers of simulated targets and services, and the platform addresses of the entry hosts they announce to. */
struct AnnouncerSettings {
    unsigned targets = 0;
    unsigned services = 1;
    std::vector<std::string> entryAddresses;
};

/** Announces each target every two seconds, always to the same entry host, until it is destroyed. */
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
