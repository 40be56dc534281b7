/**
 * @file
 * The processes of a soak: control hosts, entry hosts and targets, connected through a proxy.
 */
#pragma once

#include "processes/harness.h"
#include "soak/plan.h"
#include "soak/proxy.h"
#include "soak/records.h"

#include <mutex>
#include <string>
#include <vector>

namespace pimentoshed::soak
{

/** The three failure domains. */
inline constexpr std::array DomainNames{"ravne", "dravograd", "mezica"};

/**
 * Processes with addresses 127.SUBNET.x.y and their links. Callers, targets, operators and other hosts reach a host
 * through its links; observers reach it directly. Thread-safe.
 */
class Fleet
{
public:
    Fleet(unsigned subnet, const FleetSize &size, std::string folder);

    const FleetSize &size() const;

    /** Runs @p event: its begin, its length, and its end. Blocks meanwhile. */
    void run(const Event &event);

    /** Opens all links, and resumes and restarts all processes. */
    void healAll();

    /** Stops every process with SIGTERM, targets first. */
    void stopAll();

    /** The operator's file that replaces version @p replaces. */
    std::string operatorFile(std::uint64_t replaces) const;

    std::string controlName(unsigned control) const;
    std::string entryName(unsigned entry) const;
    /** Address of an entry host for callers, through its link. */
    std::string callerAddress(unsigned entry) const;
    /** The index of the entry host that has the address @p address for callers, without its link. */
    unsigned entryOf(const std::string &address) const;
    std::string operatorAddress(unsigned control) const;
    /** Addresses for observers. */
    std::string entryStateAddress(unsigned entry) const;
    std::string controlStateAddress(unsigned control) const;
    /** Number of times that the process of @p host has been started; 0 while it is down. */
    int processOf(const std::string &host) const;

    std::string logFile(const std::string &host) const;

    std::vector<Interval> disturbances() const;
    std::vector<PlannedStop> stops() const;
    /** The runs and departures in the run journals of all targets. */
    void readJournals(Records &records) const;

private:
    /** One process and how to start it. */
    struct Member {
        std::string name;
        std::vector<std::string> command;
        processes::Process process;
        int starts = 0;
        bool isUp = false;
        /** Guards the process against two events at once. */
        bool isBusy = false;
    };

    std::string address(unsigned group, unsigned index, unsigned port) const;
    void addControlHosts();
    void addEntryHosts();
    void addTargets();
    std::vector<std::string> targetCommand(unsigned target, int start) const;

    /** The processes that @p event affects. */
    std::vector<Member *> membersOf(const Event &event);
    bool acquire(Member &member);
    void release(Member &member);
    void start(Member &member);
    void kill(Member &member);
    void beginStop(Member &member);
    void awaitStop(Member &member);
    void stop(Member &member);
    void runOn(Member &member, const Event &event);
    static void reload(const Member &member);
    void restartAfter(Member &member, core::Duration length);
    void freeze(Member &member, core::Duration length);
    void fillDisk(Member &member, core::Duration length);
    void tearJournal(const Member &member) const;
    void holdLinks(const std::vector<std::string> &links, LinkState state, core::Duration length);
    std::vector<std::string> linksOf(const Event &event) const;
    std::string journalFile(const std::string &target) const;

    const unsigned m_subnet;
    const FleetSize m_size;
    const std::string m_folder;
    Proxy m_proxy;
    mutable std::mutex m_mutex;
    std::vector<Member> m_control;
    std::vector<Member> m_entries;
    std::vector<Member> m_targets;
    std::vector<Interval> m_disturbances;
    std::vector<PlannedStop> m_stops;
};

} // namespace pimentoshed::soak
