/**
 * @file
 * Starts real processes for a test and ends just those.
 */
#pragma once

#include "http/client.h"

#include <chrono>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace pimentoshed::processes
{

/** A process that is killed, if it still runs, when this goes. */
class Process
{
public:
    Process() = default;
    explicit Process(const std::vector<std::string> &command);
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /** Waits for the end; the exit code, or 128 + the signal. */
    int wait();
    pid_t pid() const;

private:
    pid_t m_pid = -1;
};

/** Control hosts, entry hosts in the library's three failure domains and targets, on 127.0.0.0/8. */
class Fleet
{
public:
    /** @p net tells the fleets of one test run apart: addresses are 127.net.x.y. */
    Fleet(unsigned net, unsigned entryHosts, unsigned controlHosts = 1);
    ~Fleet();

    /** Adds @p count targets of @p service, spread over the failure domains; more flags go to each of them. */
    void addTargets(const std::string &service, unsigned count, const std::vector<std::string> &flags = {});

    /** Runs the binary with @p arguments; its exit code. */
    int run(const std::vector<std::string> &arguments) const;

    /** Whether every entry host is current and knows @p targets targets in service, within ten seconds. */
    bool settles(unsigned targets) const;

    std::string operatorAddress(unsigned control = 0) const;
    std::string rpcAddress(unsigned control) const;
    /** Starts the control host again, on what is in its data folder. */
    void startControl(unsigned control);
    std::string dataFolder(unsigned control) const;
    std::string callerAddress(unsigned entry) const;
    std::string platformAddress(unsigned entry) const;
    Process &entry(unsigned number);
    Process &control(unsigned number = 0);
    Process &target(unsigned number);

private:
    unsigned m_net;
    std::string m_folder;
    std::vector<Process> m_entries;
    std::vector<Process> m_targets;
    std::vector<Process> m_control;
    std::string m_peers;
};

/** Whether @p condition comes true before @p limit has passed; asked every 20 ms. */
bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds limit);

/** GET or another method, with a timeout of five seconds. */
core::Result<http::ClientAnswer> ask(const std::string &address,
                                     const std::string &target,
                                     const std::string &method = "GET",
                                     const std::string &body = {},
                                     const std::vector<http::Header> &headers = {});

} // namespace pimentoshed::processes
