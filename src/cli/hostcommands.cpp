#include "cli/hostcommands.h"

#include "control/replicator.h"
#include "core/log.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <memory>

namespace pimentoshed::cli
{

namespace
{

/** Signals that waitForStop() handles. Must be blocked before any thread starts, so that no other thread gets them. */
sigset_t awaitedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

void blockAwaitedSignals()
{
    const auto signals = awaitedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    // Sent when a file reaches its size limit; the write then fails like one to a full disk.
    std::signal(SIGXFSZ, SIG_IGN);
}

timespec toTimespec(core::Duration duration)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return {seconds.count(), static_cast<long>((duration - seconds).count())};
}

/** Time between two checks whether a signal to stop is pending; the send time of a signal is known to this precision.
 */
constexpr core::Duration SignalCheckPeriod = std::chrono::milliseconds(100);

bool isStopPending()
{
    sigset_t pending;
    sigemptyset(&pending);
    sigpending(&pending);
    return sigismember(&pending, SIGTERM) == 1 || sigismember(&pending, SIGINT) == 1;
}

/** Waits for the next of awaitedSignals() and returns it, or 0 after @p period. */
int waitForSignal(core::Duration period)
{
    const auto signals = awaitedSignals();
    const auto wait = toTimespec(period);
    return std::max(0, sigtimedwait(&signals, nullptr, &wait));
}

/**
 * Waits for SIGTERM or SIGINT. Returns a time at which the signal had not been sent yet: a process that gets little of
 * its processor notices a signal late.
 */
template<typename Host>
core::TimePoint waitForStop(Host &host, const SettingsWatch<Host> &watch)
{
    auto lastWithoutStop = core::steadyNow();
    auto lastReload = lastWithoutStop;
    while (true) {
        const auto now = core::steadyNow();
        if (!isStopPending()) {
            lastWithoutStop = now;
        }
        const int signal = waitForSignal(SignalCheckPeriod);
        if (signal == SIGTERM || signal == SIGINT) {
            const auto delay = core::steadyNow() - lastWithoutStop;
            core::log(core::LogLevel::Info,
                      "stop-asked",
                      {{"signal", signal},
                       {"max_delay_ms", std::chrono::duration_cast<std::chrono::milliseconds>(delay).count()}});
            return lastWithoutStop;
        }
        const bool isReloadDue = watch.period > core::Duration{} && now - lastReload >= watch.period;
        if (watch.reload && (signal == SIGHUP || isReloadDue)) {
            lastReload = now;
            watch.reload(host, signal == SIGHUP);
        } else if (signal == SIGHUP) {
            core::log(core::LogLevel::Info, "reload-ignored", {{"reason", "flags do not change while a host runs"}});
        }
    }
}

ExitCode reportFailedStart(const core::Error &error)
{
    core::log(core::LogLevel::Error, "start-failed", {{"error", describe(error)}});
    return ExitCode::StartFailed;
}

/** Parses arguments such as "c1=127.0.0.1:7002" into addresses by host. Error: SettingInvalid. */
core::Result<control::PeerAddresses> parsePeers(const std::vector<std::string> &arguments)
{
    control::PeerAddresses peers;
    for (const auto &argument : arguments) {
        const auto equals = argument.find('=');
        if (equals == std::string::npos || equals == 0 || equals + 1 == argument.size()) {
            return core::Error{core::ErrorCode::SettingInvalid, "--peers: '" + argument + "' is not NAME=IP:PORT"};
        }
        peers[core::HostId(argument.substr(0, equals))] = argument.substr(equals + 1);
    }
    return peers;
}

struct ControlFlags {
    std::string id;
    std::vector<std::string> peers;
    control::ControlSettings settings;
};

ExitCode runControlCommand(ControlFlags &flags)
{
    flags.settings.id = core::HostId(flags.id);
    auto peers = parsePeers(flags.peers);
    if (!core::ok(peers)) {
        fmt::print(stderr, "{}\n", core::describe(core::error(peers)));
        return ExitCode::Usage;
    }
    flags.settings.peers = std::move(core::value(peers));
    return runControlHost(flags.settings);
}

struct InitFlags {
    std::string id;
    std::string dataFolder;
    std::vector<std::string> members;
};

ExitCode runInitCommand(const InitFlags &flags)
{
    std::vector<core::HostId> hosts;
    for (const auto &member : flags.members) {
        hosts.emplace_back(member);
    }
    const auto created = control::Replicator::createDataFolder(flags.dataFolder, core::HostId(flags.id), hosts);
    if (!core::ok(created)) {
        fmt::print(stderr, "{}\n", core::describe(core::error(created)));
        return ExitCode::Refused;
    }
    return ExitCode::Success;
}

/** Command-line values as CLI11 parses them, before they are converted to settings. */
struct EntryFlags {
    std::string id;
    std::string domain;
    std::string picker = "least-requests";
    unsigned stopLimitSeconds = 30;
    entry::EntrySettings settings;
};

} // namespace

void blockSignalsFor(CLI::App &command)
{
    command.preparse_callback([](std::size_t) {
        blockAwaitedSignals();
    });
}

ExitCode runControlHost(const control::ControlSettings &settings, const SettingsWatch<control::ControlHost> &watch)
{
    core::setLogHost(settings.id.str());
    const auto host = control::ControlHost::start(settings);
    if (!core::ok(host)) {
        return reportFailedStart(core::error(host));
    }
    waitForStop(*core::value(host), watch);
    core::value(host)->stop();
    core::log(core::LogLevel::Info, "stopped");
    return ExitCode::Success;
}

ExitCode runEntryHost(const entry::EntrySettings &settings, const SettingsWatch<entry::EntryHost> &watch)
{
    core::setLogHost(settings.id.str());
    const auto host = entry::EntryHost::start(settings);
    if (!core::ok(host)) {
        return reportFailedStart(core::error(host));
    }
    const auto signalledAfter = waitForStop(*core::value(host), watch);
    const auto cutRequests = core::value(host)->stop(signalledAfter);
    core::log(
        cutRequests == 0 ? core::LogLevel::Info : core::LogLevel::Error, "stopped", {{"requests_cut", cutRequests}});
    return cutRequests == 0 ? ExitCode::Success : ExitCode::RequestsCut;
}

void addInitCommand(CLI::App &app, ExitCode &exitCode)
{
    auto *command = app.add_subcommand("init", "Creates the data folder of a control host of a new system");
    const auto flags = std::make_shared<InitFlags>();
    command->add_option("--id", flags->id, "This host's name")->envname("PIMENTOSHED_ID")->required();
    command->add_option("--data-folder", flags->dataFolder, "Folder for this host's durable state")
        ->envname("PIMENTOSHED_DATA_FOLDER")
        ->required();
    command->add_option("--members", flags->members, "Names of the system's first control hosts, comma-separated")
        ->envname("PIMENTOSHED_MEMBERS")
        ->delimiter(',')
        ->required();
    command->callback([flags, &exitCode]() {
        exitCode = runInitCommand(*flags);
    });
}

void addControlCommand(CLI::App &app, ExitCode &exitCode)
{
    auto *command = app.add_subcommand("control", "Runs a control host until SIGTERM");
    blockSignalsFor(*command);
    const auto flags = std::make_shared<ControlFlags>();
    auto *settings = &flags->settings;
    command->add_option("--id", flags->id, "This host's name")->envname("PIMENTOSHED_ID")->required();
    command->add_option("--operator-listen", settings->operatorListen, "IP:PORT for operators")
        ->envname("PIMENTOSHED_OPERATOR_LISTEN")
        ->required();
    command->add_option("--rpc-listen", settings->rpcListen, "IP:PORT for the system's other hosts")
        ->envname("PIMENTOSHED_RPC_LISTEN")
        ->required();
    command->add_option("--data-folder", settings->dataFolder, "Folder for this host's durable state")
        ->envname("PIMENTOSHED_DATA_FOLDER")
        ->required();
    command->add_option("--workers", settings->workers, "Worker threads")
        ->envname("PIMENTOSHED_WORKERS")
        ->check(CLI::Range(1, 64))
        ->capture_default_str();
    command->add_option("--peers", flags->peers, "Every control host as NAME=IP:PORT, comma-separated")
        ->envname("PIMENTOSHED_PEERS")
        ->delimiter(',');
    command->callback([flags, &exitCode]() {
        exitCode = runControlCommand(*flags);
    });
}

void addEntryCommand(CLI::App &app, ExitCode &exitCode)
{
    auto *command = app.add_subcommand("entry", "Runs an entry host until SIGTERM");
    blockSignalsFor(*command);
    const auto flags = std::make_shared<EntryFlags>();
    auto &settings = flags->settings;
    command->add_option("--id", flags->id, "This host's name")->envname("PIMENTOSHED_ID")->required();
    command->add_option("--failure-domain", flags->domain, "This host's failure domain")
        ->envname("PIMENTOSHED_FAILURE_DOMAIN")
        ->required();
    command->add_option("--listen", settings.callerListen, "IP:PORT for callers")
        ->envname("PIMENTOSHED_LISTEN")
        ->required();
    command->add_option("--platform-listen", settings.platformListen, "IP:PORT for targets, state and metrics")
        ->envname("PIMENTOSHED_PLATFORM_LISTEN")
        ->required();
    command->add_option("--control", settings.controlAddresses, "RPC addresses of the control hosts, comma-separated")
        ->envname("PIMENTOSHED_CONTROL")
        ->delimiter(',')
        ->required();
    command->add_option("--workers", settings.workers, "Worker threads")
        ->envname("PIMENTOSHED_WORKERS")
        ->check(CLI::Range(1, 64))
        ->capture_default_str();
    command->add_option("--picker", flags->picker, "Algorithm that selects targets")
        ->envname("PIMENTOSHED_PICKER")
        ->check([](const std::string &name) {
            return core::valueOf(routing::PickerNames, name) ? std::string() : "unknown picker: " + name;
        })
        ->capture_default_str();
    command->add_option("--stop-limit", flags->stopLimitSeconds, "Seconds that a stop waits for requests in progress")
        ->envname("PIMENTOSHED_STOP_LIMIT")
        ->check(CLI::Range(0, 3600))
        ->capture_default_str();
    command->callback([flags, &exitCode]() {
        auto &chosen = flags->settings;
        chosen.id = core::HostId(flags->id);
        chosen.domain = core::FailureDomain(flags->domain);
        chosen.picker = core::valueOf(routing::PickerNames, flags->picker).value_or(chosen.picker);
        chosen.stopLimit = std::chrono::seconds(flags->stopLimitSeconds);
        exitCode = runEntryHost(chosen);
    });
}

} // namespace pimentoshed::cli
