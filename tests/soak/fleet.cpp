#include "soak/fleet.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <sys/resource.h>
#include <thread>

namespace pimentoshed::soak
{

namespace
{

using namespace std::chrono_literals;

/** After a fault, requests may be affected for this long: a permission, and the election and back-off before it. */
constexpr core::Duration Aftermath = 5s;
/** Groups of addresses: 127.SUBNET.GROUP.INDEX. */
constexpr unsigned EntryGroup = 1;
constexpr unsigned TargetGroup = 2;
constexpr unsigned ControlGroup = 3;
constexpr unsigned LinkOffset = 100;
/** The links between two control hosts; one group per calling host. */
constexpr unsigned PairGroup = 200;
constexpr unsigned CallerPort = 8080;
constexpr unsigned PlatformPort = 8081;
constexpr unsigned TargetPort = 9000;
constexpr unsigned OperatorPort = 7001;
constexpr unsigned RpcPort = 7002;
constexpr auto ReloadGap = 40ms;
/** A full disk still has room for a part of a record. */
constexpr rlim_t BytesLeftOnFullDisk = 100;

std::string pairLink(unsigned from, unsigned to)
{
    return fmt::format("c{}>c{}", from, to);
}

/** The size of the largest file in @p folder. */
rlim_t largestFile(const std::string &folder)
{
    rlim_t largest = 0;
    std::error_code ignored;
    for (const auto &file : std::filesystem::directory_iterator(folder, ignored)) {
        if (file.is_regular_file(ignored)) {
            largest = std::max<rlim_t>(largest, file.file_size(ignored));
        }
    }
    return largest;
}

} // namespace

Fleet::Fleet(unsigned subnet, const FleetSize &size, std::string folder)
    : m_subnet(subnet)
    , m_size(size)
    , m_folder(std::move(folder))
{
    addControlHosts();
    addEntryHosts();
    addTargets();
    for (auto *members : {&m_control, &m_entries, &m_targets}) {
        for (auto &member : *members) {
            start(member);
        }
    }
}

const FleetSize &Fleet::size() const
{
    return m_size;
}

std::string Fleet::address(unsigned group, unsigned index, unsigned port) const
{
    return fmt::format("127.{}.{}.{}:{}", m_subnet, group, index + 1, port);
}

void Fleet::addControlHosts()
{
    std::vector<std::string> names;
    for (unsigned i = 0; i < m_size.control; ++i) {
        names.push_back(controlName(i));
        m_proxy.addLink(
            names.back() + ".rpc", address(ControlGroup + LinkOffset, i, RpcPort), address(ControlGroup, i, RpcPort));
        m_proxy.addLink(names.back() + ".operators", operatorAddress(i), controlStateAddress(i));
    }
    for (unsigned i = 0; i < m_size.control; ++i) {
        std::vector<std::string> peers;
        for (unsigned other = 0; other < m_size.control; ++other) {
            const bool isSelf = other == i;
            const auto link = address(isSelf ? ControlGroup + LinkOffset : PairGroup + i, other, RpcPort);
            if (!isSelf) {
                m_proxy.addLink(pairLink(i, other), link, address(ControlGroup, other, RpcPort));
            }
            peers.push_back(controlName(other) + "=" + link);
        }
        const auto folder = m_folder + "/" + names[i];
        processes::Process({PIMENTOSHED_BINARY,
                            "init",
                            "--id=" + names[i],
                            "--data-folder=" + folder,
                            fmt::format("--members={}", fmt::join(names, ","))})
            .wait();
        m_control.push_back({names[i],
                             {PIMENTOSHED_BINARY,
                              "control",
                              "--id=" + names[i],
                              "--operator-listen=" + controlStateAddress(i),
                              "--rpc-listen=" + address(ControlGroup, i, RpcPort),
                              "--data-folder=" + folder,
                              "--workers=2",
                              fmt::format("--peers={}", fmt::join(peers, ","))},
                             {}});
    }
}

void Fleet::addEntryHosts()
{
    std::vector<std::string> control;
    for (unsigned i = 0; i < m_size.control; ++i) {
        control.push_back(address(ControlGroup + LinkOffset, i, RpcPort));
    }
    for (unsigned i = 0; i < m_size.entry; ++i) {
        const auto name = entryName(i);
        m_proxy.addLink(name + ".callers", callerAddress(i), address(EntryGroup, i, CallerPort));
        m_proxy.addLink(name + ".platform",
                        address(EntryGroup + LinkOffset, i, PlatformPort),
                        address(EntryGroup, i, PlatformPort));
        m_entries.push_back({name,
                             {PIMENTOSHED_BINARY,
                              "entry",
                              "--id=" + name,
                              fmt::format("--failure-domain={}", DomainNames.at(i % DomainNames.size())),
                              "--listen=" + address(EntryGroup, i, CallerPort),
                              "--platform-listen=" + entryStateAddress(i),
                              "--workers=2",
                              fmt::format("--control={}", fmt::join(control, ","))},
                             {}});
    }
}

void Fleet::addTargets()
{
    for (unsigned i = 0; i < m_size.targets; ++i) {
        const auto name = fmt::format("t{}", i);
        m_proxy.addLink(name, address(TargetGroup + LinkOffset, i, TargetPort), address(TargetGroup, i, TargetPort));
        m_targets.push_back({name, {}, {}});
    }
}

std::vector<std::string> Fleet::targetCommand(unsigned target, int start) const
{
    std::vector<std::string> entries;
    for (unsigned i = 0; i < m_size.entry; ++i) {
        entries.push_back(address(EntryGroup + LinkOffset, (i + target) % m_size.entry, PlatformPort));
    }
    const auto name = fmt::format("t{}", target);
    return {PIMENTOSHED_TARGET_STANDIN,
            "--id=" + name,
            fmt::format("--service={}", target % 2 == 0 ? "catalogue" : "loans"),
            fmt::format("--failure-domain={}", DomainNames.at(target / 2 % DomainNames.size())),
            "--listen=" + address(TargetGroup, target, TargetPort),
            "--announced-address=" + address(TargetGroup + LinkOffset, target, TargetPort),
            fmt::format("--entries={}", fmt::join(entries, ",")),
            "--service-micros=8000",
            "--leave-millis=3000",
            "--run-journal=" + journalFile(fmt::format("{}#{}", name, start))};
}

std::string Fleet::journalFile(const std::string &target) const
{
    return fmt::format("{}/{}.runs", m_folder, target);
}

void Fleet::start(Member &member)
{
    auto command = member.command;
    if (command.empty()) {
        command = targetCommand(static_cast<unsigned>(&member - m_targets.data()), member.starts + 1);
    }
    processes::Process process(command, logFile(member.name));
    const std::lock_guard lock(m_mutex);
    member.process = std::move(process);
    ++member.starts;
    member.isUp = true;
}

void Fleet::kill(Member &member)
{
    {
        const std::lock_guard lock(m_mutex);
        member.isUp = false;
    }
    member.process.signal(SIGKILL);
    member.process.wait();
}

void Fleet::beginStop(Member &member)
{
    {
        const std::lock_guard lock(m_mutex);
        member.isUp = false;
    }
    member.process.signal(SIGTERM);
}

void Fleet::awaitStop(Member &member)
{
    const int exitCode = member.process.wait();
    const std::lock_guard lock(m_mutex);
    m_stops.push_back({member.name, exitCode, core::steadyNow()});
}

void Fleet::stop(Member &member)
{
    beginStop(member);
    awaitStop(member);
}

std::vector<Fleet::Member *> Fleet::membersOf(const Event &event)
{
    switch (subjectOf(event.kind)) {
    case SubjectKind::EntryHost:
        return {&m_entries.at(event.subject)};
    case SubjectKind::Target:
        return {&m_targets.at(event.subject)};
    case SubjectKind::ControlHost:
        return {&m_control.at(event.subject)};
    case SubjectKind::AllControlHosts:
        break;
    }
    std::vector<Member *> members;
    for (auto &member : m_control) {
        members.push_back(&member);
    }
    return members;
}

bool Fleet::acquire(Member &member)
{
    const std::lock_guard lock(m_mutex);
    return !std::exchange(member.isBusy, true);
}

void Fleet::release(Member &member)
{
    const std::lock_guard lock(m_mutex);
    member.isBusy = false;
}

void Fleet::run(const Event &event)
{
    std::size_t disturbance = 0;
    if (!isPlannedWork(event.kind)) {
        const std::lock_guard lock(m_mutex);
        disturbance = m_disturbances.size();
        m_disturbances.push_back({core::steadyNow(), core::TimePoint::max() - Aftermath});
    }
    const auto members = membersOf(event);
    std::vector<std::thread> threads;
    threads.reserve(members.size());
    for (auto *member : members) {
        // A process that another event already handles is left alone.
        if (acquire(*member)) {
            threads.emplace_back([this, member, &event]() {
                runOn(*member, event);
                release(*member);
            });
        }
    }
    for (auto &thread : threads) {
        thread.join();
    }
    if (!isPlannedWork(event.kind)) {
        const std::lock_guard lock(m_mutex);
        m_disturbances[disturbance].until = core::steadyNow() + Aftermath;
    }
}

void Fleet::runOn(Member &member, const Event &event)
{
    switch (event.kind) {
    case EventKind::KillEntry:
    case EventKind::KillControl:
    case EventKind::KillTarget:
    case EventKind::KillAllControl:
        kill(member);
        restartAfter(member, event.length);
        break;
    case EventKind::TearJournal:
        kill(member);
        tearJournal(member);
        restartAfter(member, event.length);
        break;
    case EventKind::StopEntry:
    case EventKind::StopControl:
    case EventKind::StopTarget:
        stop(member);
        restartAfter(member, event.length);
        break;
    case EventKind::ReloadEntry:
    case EventKind::ReloadControl:
        reload(member);
        break;
    case EventKind::ReloadAndStopEntry:
    case EventKind::ReloadAndStopControl:
        reload(member);
        beginStop(member);
        reload(member);
        awaitStop(member);
        restartAfter(member, event.length);
        break;
    case EventKind::FreezeEntry:
    case EventKind::FreezeControl:
    case EventKind::FreezeTarget:
        freeze(member, event.length);
        break;
    case EventKind::FillDisk:
        fillDisk(member, event.length);
        break;
    case EventKind::CutControl:
        holdLinks(linksOf(event), LinkState::Held, event.length);
        break;
    case EventKind::CutControlOutbound:
    case EventKind::CutCallers:
        holdLinks(linksOf(event), LinkState::HeldForward, event.length);
        break;
    case EventKind::DelayControl:
        holdLinks(linksOf(event), LinkState::Delayed, event.length);
        break;
    case EventKind::SilenceTarget:
        holdLinks(linksOf(event), LinkState::HeldBackward, event.length);
        break;
    case EventKind::ResetTarget:
        holdLinks(linksOf(event), LinkState::Reset, event.length);
        break;
    }
}

/** Sends SIGHUP a few times. */
void Fleet::reload(const Member &member)
{
    constexpr unsigned Signals = 3;
    for (unsigned i = 0; i < Signals; ++i) {
        member.process.signal(SIGHUP);
        std::this_thread::sleep_for(ReloadGap);
    }
}

void Fleet::restartAfter(Member &member, core::Duration length)
{
    std::this_thread::sleep_for(length);
    start(member);
}

void Fleet::freeze(Member &member, core::Duration length)
{
    member.process.signal(SIGSTOP);
    std::this_thread::sleep_for(length);
    member.process.signal(SIGCONT);
}

/** Limits the size of the files that the process may write, as a full disk does; then restarts the process. */
void Fleet::fillDisk(Member &member, core::Duration length)
{
    const rlimit full{largestFile(m_folder + "/" + member.name) + BytesLeftOnFullDisk, RLIM_INFINITY};
    prlimit(member.process.pid(), RLIMIT_FSIZE, &full, nullptr);
    std::this_thread::sleep_for(length);
    const rlimit unlimited{RLIM_INFINITY, RLIM_INFINITY};
    prlimit(member.process.pid(), RLIMIT_FSIZE, &unlimited, nullptr);
    stop(member);
    start(member);
}

/** Appends a part of a record to every journal file, as a write leaves it that a power loss interrupts. */
void Fleet::tearJournal(const Member &member) const
{
    std::error_code ignored;
    for (const auto &file : std::filesystem::directory_iterator(m_folder + "/" + member.name, ignored)) {
        if (file.path().filename() == "journal") {
            std::ofstream(file.path(), std::ios::binary | std::ios::app) << std::string("\x40\x00\x00\x00torn", 8);
        }
    }
}

void Fleet::holdLinks(const std::vector<std::string> &links, LinkState state, core::Duration length)
{
    for (const auto &link : links) {
        m_proxy.setState(link, state);
    }
    std::this_thread::sleep_for(length);
    for (const auto &link : links) {
        m_proxy.setState(link, LinkState::Open);
    }
}

std::vector<std::string> Fleet::linksOf(const Event &event) const
{
    if (event.kind == EventKind::SilenceTarget || event.kind == EventKind::ResetTarget) {
        return {fmt::format("t{}", event.subject)};
    }
    if (event.kind == EventKind::CutCallers) {
        return {entryName(event.subject) + ".callers"};
    }
    std::vector<std::string> links;
    for (unsigned other = 0; other < m_size.control; ++other) {
        if (other != event.subject) {
            links.push_back(pairLink(event.subject, other));
            if (event.kind != EventKind::CutControlOutbound) {
                links.push_back(pairLink(other, event.subject));
            }
        }
    }
    if (event.kind != EventKind::CutControlOutbound) {
        links.push_back(controlName(event.subject) + ".rpc");
        links.push_back(controlName(event.subject) + ".operators");
    }
    return links;
}

void Fleet::healAll()
{
    for (auto *members : {&m_control, &m_entries, &m_targets}) {
        for (auto &member : *members) {
            if (processOf(member.name) == 0) {
                start(member);
            }
        }
    }
}

void Fleet::stopAll()
{
    for (auto *members : {&m_targets, &m_entries, &m_control}) {
        for (auto &member : *members) {
            beginStop(member);
        }
        for (auto &member : *members) {
            awaitStop(member);
        }
    }
}

std::string Fleet::operatorFile(std::uint64_t replaces) const
{
    std::ifstream file(PIMENTOSHED_SOURCE "/examples/library.toml");
    std::stringstream text;
    std::string line;
    bool isControlHost = false;
    while (std::getline(file, line)) {
        if (line.starts_with("[")) {
            isControlHost = line.starts_with("[control_host");
        }
        if (!isControlHost) {
            text << (line.starts_with("replaces") ? fmt::format("replaces = {}", replaces) : line) << "\n";
        }
    }
    return text.str();
}

std::string Fleet::controlName(unsigned control) const
{
    return fmt::format("c{}", control);
}

std::string Fleet::entryName(unsigned entry) const
{
    return fmt::format("e{}", entry);
}

std::string Fleet::callerAddress(unsigned entry) const
{
    return address(EntryGroup + LinkOffset, entry, CallerPort);
}

unsigned Fleet::entryOf(const std::string &callerListen) const
{
    for (unsigned i = 0; i < m_size.entry; ++i) {
        if (address(EntryGroup, i, CallerPort) == callerListen) {
            return i;
        }
    }
    return 0;
}

std::string Fleet::operatorAddress(unsigned control) const
{
    return address(ControlGroup + LinkOffset, control, OperatorPort);
}

std::string Fleet::entryStateAddress(unsigned entry) const
{
    return address(EntryGroup, entry, PlatformPort);
}

std::string Fleet::controlStateAddress(unsigned control) const
{
    return address(ControlGroup, control, OperatorPort);
}

int Fleet::processOf(const std::string &host) const
{
    const std::lock_guard lock(m_mutex);
    for (const auto *members : {&m_control, &m_entries, &m_targets}) {
        for (const auto &member : *members) {
            if (member.name == host) {
                return member.isUp ? member.starts : 0;
            }
        }
    }
    return 0;
}

std::string Fleet::logFile(const std::string &host) const
{
    return fmt::format("{}/{}.log", m_folder, host);
}

std::vector<Interval> Fleet::disturbances() const
{
    const std::lock_guard lock(m_mutex);
    return m_disturbances;
}

std::vector<PlannedStop> Fleet::stops() const
{
    const std::lock_guard lock(m_mutex);
    return m_stops;
}

void Fleet::readJournals(Records &records) const
{
    for (unsigned i = 0; i < m_size.targets; ++i) {
        for (int start = 1;; ++start) {
            const auto target = fmt::format("t{}#{}", i, start);
            std::ifstream file(journalFile(target));
            if (!file) {
                break;
            }
            std::map<std::string, std::size_t> open;
            for (std::string line; std::getline(file, line);) {
                std::istringstream words(line);
                std::string kind;
                std::string path;
                std::int64_t time = 0;
                words >> kind;
                if (kind == "left" && words >> time) {
                    records.departures.push_back({target, core::TimePoint(core::Duration(time))});
                } else if (words >> path >> time && kind == "start") {
                    open[path] = records.runs.size();
                    records.runs.push_back({path,
                                            target,
                                            DomainNames.at(i / 2 % DomainNames.size()),
                                            core::TimePoint(core::Duration(time)),
                                            {}});
                } else if (kind == "end" && open.contains(path)) {
                    records.runs[open[path]].end = core::TimePoint(core::Duration(time));
                }
            }
        }
    }
}

} // namespace pimentoshed::soak
