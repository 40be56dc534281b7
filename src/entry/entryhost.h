/**
 * @file
 * The entry host: relays callers' requests to targets and reports targets' announcements to the control hosts.
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
#include <string_view>
#include <vector>

namespace pimentoshed::entry
{

/** Returns the hosts among @p hosts to which callers in @p domain that send the host name @p hostName are led. */
using HostsForCallersHook = std::function<std::vector<const membership::EntryHost *>(
    const std::vector<membership::EntryHost> &hosts, const core::FailureDomain &domain, std::string_view hostName)>;

/** Settings of an entry host. */
struct EntrySettings {
    core::HostId id;
    core::FailureDomain domain;
    std::string callerListen;
    std::string platformListen;
    /** A second address with the same handler as platformListen; empty if there is none. */
    std::string directoryListen;
    /** The control hosts' RPC addresses. */
    std::vector<std::string> controlAddresses;
    std::size_t workers = 2;
    routing::PickerKind picker = routing::PickerKind::LeastExpectedTime;
    /** The longest time that stop() waits for requests in progress. */
    core::Duration stopLimit = std::chrono::seconds(30);
    /** How long stop() still accepts requests; if not set, as long as callers may hold this host's address. */
    std::optional<core::Duration> acceptDurationOnStop;
    /**
     * For how long from the start of the stop stop() sends idempotent requests that arrive by an estimate of the time
     * that they take, see requests::canEndBefore(). Later requests are sent only if their deadline leaves no doubt.
     */
    core::Duration estimateDurationOnStop{};
    http::ProtocolHooks marking = http::defaultProtocolHooks();
    CallerHandlerOptions callerOptions;
    /** Parses the operators' configuration files. */
    configuration::FileParser parser = configuration::parse;
    /** Makes the handler of platformListen. */
    std::function<http::Handler(TargetHandlerDependencies)> makeTargetHandler = makeTargetHttpHandler;
    /**
     * The most unspent retries that the retry budgets of all entry hosts together hold for one service; if not set,
     * only the service's retry ratio limits them.
     */
    std::optional<double> maxUnspentRetries;
    HostsForCallersHook hostsForCallers = membership::hostsOfDomain;
};

/** A running entry host. */
class EntryHost
{
public:
    ~EntryHost();
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    /** Binds the addresses and starts to serve. Errors: SettingInvalid, ListenFailed. */
    static core::Result<std::unique_ptr<EntryHost>> start(const EntrySettings &settings);

    /** Adds control hosts to follow if the known ones don't respond. */
    void addControlHosts(const std::vector<std::string> &addresses);

    /**
     * Withdraws this host's address, accepts requests until the addresses given out before have expired, then waits up
     * to stopLimit for requests in progress. All of this counts from @p start, which may have passed already: a time at
     * which the stop had not been requested yet. Blocks the calling thread. Returns the number of requests still in
     * progress at the limit.
     */
    std::size_t stop(core::TimePoint start);

private:
    class Impl;
    explicit EntryHost(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> m_impl;
};

} // namespace pimentoshed::entry
