#include "processes/harness.h"

#include <csignal>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace pimentoshed::processes
{

namespace
{

const char *const Domains[] = {"ravne", "dravograd", "mezica"};

std::vector<char *> argumentsOf(std::vector<std::string> &command)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (auto &argument : command) {
        arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    return arguments;
}

} // namespace

Process::Process(const std::vector<std::string> &command, const std::string &logFile)
{
    auto mutableCommand = command;
    auto arguments = argumentsOf(mutableCommand);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (!logFile.empty()) {
        constexpr mode_t OwnerMayWrite = 0600;
        posix_spawn_file_actions_addopen(
            &actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, OwnerMayWrite);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    }
    // A process that inherits a connection of the test would keep it open after the test has closed it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failure = posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        throw std::runtime_error("can't start " + command.front());
    }
}

Process::~Process()
{
    if (m_pid > 0) {
        signal(SIGKILL);
        wait();
    }
}

Process::Process(Process &&other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
{
}

Process &Process::operator=(Process &&other) noexcept
{
    std::swap(m_pid, other.m_pid);
    return *this;
}

void Process::signal(int number) const
{
    // With -1, kill() would signal every process.
    if (isStarted()) {
        kill(m_pid, number);
    }
}

bool Process::isStarted() const
{
    return m_pid > 0;
}

int Process::wait()
{
    int status = 0;
    waitpid(std::exchange(m_pid, -1), &status, 0);
    constexpr int SignalBase = 128;
    return WIFEXITED(status) ? WEXITSTATUS(status) : SignalBase + WTERMSIG(status);
}

pid_t Process::pid() const
{
    return m_pid;
}

std::string lastLines(const std::string &name, std::size_t count)
{
    std::ifstream file(name);
    std::deque<std::string> lines;
    for (std::string line; std::getline(file, line);) {
        lines.push_back(line);
        if (lines.size() > count) {
            lines.pop_front();
        }
    }
    std::string text;
    for (const auto &line : lines) {
        text += line + "\n";
    }
    return text;
}

std::function<bool()> &hasTestFailed()
{
    static std::function<bool()> hook;
    return hook;
}

Fleet::Fleet(unsigned subnet, unsigned entryHosts, unsigned controlHosts)
    : m_subnet(subnet)
{
    std::string members;
    for (unsigned i = 0; i < controlHosts; ++i) {
        members += fmt::format("{}c{}", i == 0 ? "" : ",", i);
        m_controlAddresses += (i == 0 ? "" : ",") + rpcAddress(i);
        m_peers += fmt::format("{}c{}={}", i == 0 ? "" : ",", i, rpcAddress(i));
    }
    for (unsigned i = 0; i < controlHosts; ++i) {
        run({"init", fmt::format("--id=c{}", i), "--data-folder=" + dataFolder(i), "--members=" + members});
        m_control.emplace_back();
        startControl(i);
    }
    for (unsigned i = 0; i < entryHosts; ++i) {
        m_entries.emplace_back();
        startEntry(i);
    }
    for (unsigned i = 0; i < controlHosts; ++i) {
        if (!eventually(
                [this, i]() {
                    return core::ok(sendRequest(operatorAddress(i), "/pimentoshed/v1/state"));
                },
                std::chrono::seconds(10))) {
            throw std::runtime_error("a control host did not answer within 10 s of its start");
        }
    }
}

void Fleet::startControl(unsigned control)
{
    m_control.at(control) = Process({PIMENTOSHED_BINARY,
                                     "control",
                                     fmt::format("--id=c{}", control),
                                     "--operator-listen=" + operatorAddress(control),
                                     "--rpc-listen=" + rpcAddress(control),
                                     "--data-folder=" + dataFolder(control),
                                     "--peers=" + m_peers},
                                    logFile(fmt::format("c{}", control)));
}

void Fleet::startEntry(unsigned entry)
{
    m_entries.at(entry) = Process({PIMENTOSHED_BINARY,
                                   "entry",
                                   fmt::format("--id=e{}", entry),
                                   fmt::format("--failure-domain={}", Domains[entry % 3]),
                                   "--listen=" + callerAddress(entry),
                                   "--platform-listen=" + platformAddress(entry),
                                   "--control=" + m_controlAddresses},
                                  logFile(fmt::format("e{}", entry)));
}

std::string Fleet::logFile(const std::string &id) const
{
    return m_folder.path() / (id + ".log");
}

void Fleet::printLogs() const
{
    constexpr std::size_t LinesPerProcess = 12;
    for (const auto &file : std::filesystem::directory_iterator(m_folder.path())) {
        if (file.path().extension() == ".log") {
            fmt::print(stderr, "-- {}\n{}", file.path().filename().string(), lastLines(file.path(), LinesPerProcess));
        }
    }
}

std::string Fleet::dataFolder(unsigned control) const
{
    return m_folder.path() / fmt::format("c{}", control);
}

Fleet::~Fleet()
{
    m_targets.clear();
    m_entries.clear();
    m_control.clear();
    if (hasTestFailed() && hasTestFailed()()) {
        printLogs();
    }
}

void Fleet::addTargets(const std::string &service, unsigned count, const std::vector<std::string> &flags)
{
    std::string entries;
    for (unsigned i = 0; i < m_entries.size(); ++i) {
        entries += (entries.empty() ? "" : ",") + platformAddress(i);
    }
    for (unsigned i = 0; i < count; ++i) {
        std::vector<std::string> command{PIMENTOSHED_TARGET_STANDIN,
                                         fmt::format("--id={}-{}", service, i),
                                         "--service=" + service,
                                         fmt::format("--failure-domain={}", Domains[i % 3]),
                                         fmt::format("--listen=127.{}.2.{}:9000", m_subnet, m_targets.size() + 1),
                                         "--entries=" + entries};
        command.insert(command.end(), flags.begin(), flags.end());
        m_targets.emplace_back(command, logFile(fmt::format("{}-{}", service, i)));
    }
}

int Fleet::run(const std::vector<std::string> &arguments) const
{
    std::vector<std::string> command{PIMENTOSHED_BINARY};
    command.insert(command.end(), arguments.begin(), arguments.end());
    return Process(command).wait();
}

bool isReady(const std::string &state, unsigned targets)
{
    constexpr std::string_view Warm = "\"condition\":\"warm\"";
    unsigned known = 0;
    for (auto at = state.find(Warm); at != std::string::npos; at = state.find(Warm, at + 1)) {
        ++known;
    }
    return known == targets && state.find("\"current\":true") != std::string::npos;
}

bool Fleet::waitUntilReady(unsigned targets) const
{
    const auto isEntryReady = [this, targets](unsigned entry) {
        const auto answer = sendRequest(platformAddress(entry), "/pimentoshed/v1/state");
        return core::ok(answer) && isReady(core::value(answer).body, targets);
    };
    for (unsigned i = 0; i < m_entries.size(); ++i) {
        if (!eventually(
                [&isEntryReady, i]() {
                    return isEntryReady(i);
                },
                std::chrono::seconds(10))) {
            return false;
        }
    }
    return true;
}

std::string Fleet::operatorAddress(unsigned control) const
{
    return fmt::format("127.{}.3.{}:7001", m_subnet, control + 1);
}

std::string Fleet::rpcAddress(unsigned control) const
{
    return fmt::format("127.{}.3.{}:7002", m_subnet, control + 1);
}

std::string Fleet::callerAddress(unsigned entry) const
{
    return fmt::format("127.{}.1.{}:8080", m_subnet, entry + 1);
}

std::string Fleet::platformAddress(unsigned entry) const
{
    return fmt::format("127.{}.1.{}:8081", m_subnet, entry + 1);
}

Process &Fleet::entry(unsigned number)
{
    return m_entries.at(number);
}

Process &Fleet::control(unsigned number)
{
    return m_control.at(number);
}

Process &Fleet::target(unsigned number)
{
    return m_targets.at(number);
}

bool eventually(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    constexpr auto Pause = std::chrono::milliseconds(20);
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(Pause);
    }
    return true;
}

core::Result<http::ClientAnswer> sendRequest(const std::string &address,
                                             const std::string &target,
                                             const std::string &method,
                                             const std::string &body,
                                             const std::vector<http::Header> &headers)
{
    return http::fetch(address, {method, target, headers, body}, std::chrono::seconds(5));
}

} // namespace pimentoshed::processes
