/**
 * @file
 * The entry role: takes callers' requests to targets and targets' announcements to the system.
 */
#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "entry/callerhttphandler.h"
#include "entry/targethttphandler.h"
#include "routing/picker.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentoshed::entry
{

/** What an entry host is started with. */
struct EntrySettings {
    core::HostId id;
    core::FailureDomain domain;
    std::string callerListen;
    std::string platformListen;
    /** Another address that is served like platformListen; empty where there is none. */
    std::string directoryListen;
    /** The control hosts' RPC addresses. */
    std::vector<std::string> controlAddresses;
    std::size_t workers = 2;
    routing::PickerKind picker = routing::PickerKind::LeastExpectedTime;
    /** The most that a stop waits for requests in progress. */
    core::Duration stopLimit = std::chrono::seconds(30);
    /** How long a stop goes on taking requests; without it, as long as callers may hold this host's address. */
    std::optional<core::Duration> acceptDurationOnStop;
    http::ProtocolHooks marking = http::defaultProtocolHooks();
    CallerHandlerOptions callerOptions;
    /** Reads the operators' files. */
    configuration::FileParser parser = configuration::parse;
    /** Makes the handler of platformListen. */
    std::function<http::Handler(TargetHandlerDependencies)> makeTargetHandler = makeTargetHttpHandler;
    /** Retries in hand of each service, over all entry hosts; without it, what the services' ratios allow. */
    std::optional<double> maxUnspentRetries;
};

/** A running entry host. */
class EntryHost
{
public:
    ~EntryHost();
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    /** Binds and starts. Errors: SettingInvalid, ListenFailed. */
    static core::Result<std::unique_ptr<EntryHost>> start(const EntrySettings &settings);

    /** Takes addresses of control hosts to follow, should those known not answer. */
    void addControlHosts(const std::vector<std::string> &addresses);

    /**
     * Leaves the address answers, serves on until those have run out, finishes what is in progress. Blocks its thread
     * meanwhile. Returns the number of requests still in progress when the limit ended.
     */
    std::size_t stop();

private:
    class Impl;
    explicit EntryHost(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> m_impl;
};

} // namespace pimentoshed::entry
