/**
 * @file
 * Starts processes of the load balancer for a test and ends only those.
 */
#pragma once

#include "http/client.h"
#include "support/files.h"

#include <chrono>
#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace pimentoshed::processes
{

/** A child process. The destructor kills it if it still runs. */
class Process
{
public:
    Process() = default;
    /** Starts @p command. Its output is appended to @p logFile, if one is given. Throws std::runtime_error. */
    explicit Process(const std::vector<std::string> &command, const std::string &logFile = {});
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&other) noexcept;
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    /** Sends signal @p number to the process. */
    void signal(int number) const;
    /** Whether the process has been started and not been waited for. */
    bool isStarted() const;
    /** Waits until the process ends. Returns the exit code, or 128 + the number of the signal that ended it. */
    int wait();
    pid_t pid() const;

private:
    pid_t m_pid = -1;
};

/** Returns the last @p count lines of the file @p name. */
std::string lastLines(const std::string &name, std::size_t count);

/** Whether the state dump @p state of an entry host says that it is current and has exactly @p targets warm targets. */
bool isReady(const std::string &state, unsigned targets);

/** Returns whether the running test has failed; null if the program runs no tests. */
std::function<bool()> &hasTestFailed();

/**
 * Control hosts, entry hosts and targets, each in a process of its own, with addresses in 127.0.0.0/8. Entry hosts and
 * targets are spread over the three failure domains of examples/library.toml. If the test fails, the destructor prints
 * the last log lines of each process.
 */
class Fleet
{
public:
    /**
     * Starts the hosts and waits until the control hosts answer. Addresses are 127.@p subnet.x.y, so fleets that run at
     * the same time need different values. Throws std::runtime_error.
     */
    Fleet(unsigned subnet, unsigned entryHosts, unsigned controlHosts = 1);
    ~Fleet();

    /**
     * Starts @p count targets of @p service, spread over the failure domains, with additional command line @p flags.
     */
    void addTargets(const std::string &service, unsigned count, const std::vector<std::string> &flags = {});

    /** Runs the product's binary with @p arguments and returns its exit code. */
    int run(const std::vector<std::string> &arguments) const;

    /**
     * Waits until every entry host is current and has exactly @p targets warm targets, for at most ten seconds per
     * entry host. Returns whether that happened.
     */
    bool waitUntilReady(unsigned targets) const;

    std::string operatorAddress(unsigned control = 0) const;
    std::string rpcAddress(unsigned control) const;
    /** Starts control host number @p control with its data folder. */
    void startControl(unsigned control);
    std::string dataFolder(unsigned control) const;
    /** Starts entry host number @p entry. */
    void startEntry(unsigned entry);
    std::string callerAddress(unsigned entry) const;
    std::string platformAddress(unsigned entry) const;
    Process &entry(unsigned number);
    Process &control(unsigned number = 0);
    Process &target(unsigned number);

private:
    std::string logFile(const std::string &id) const;
    void printLogs() const;

    unsigned m_subnet;
    const support::TemporaryFolder m_folder;
    std::vector<Process> m_entries;
    std::vector<Process> m_targets;
    std::vector<Process> m_control;
    std::string m_peers;
    /** The RPC addresses of all control hosts. */
    std::string m_controlAddresses;
};

/** Evaluates @p condition every 20 ms until it is true or @p limit has passed. Returns whether it became true. */
bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds limit);

/** Sends a request to @p address and returns the response. The timeout is five seconds. */
core::Result<http::ClientAnswer> sendRequest(const std::string &address,
                                             const std::string &target,
                                             const std::string &method = "GET",
                                             const std::string &body = {},
                                             const std::vector<http::Header> &headers = {});

} // namespace pimentoshed::processes
