/**
 * @file
 * The entry role: takes callers' requests to targets and targets' announcements to the system.
 */
#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "routing/picker.h"

#include <cstddef>
#include <memory>
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
    /** The control hosts' RPC addresses. */
    std::vector<std::string> controlAddresses;
    std::size_t workers = 2;
    routing::PickerKind picker = routing::PickerKind::LeastExpectedTime;
    /** The most that a stop waits for requests in progress. */
    core::Duration stopLimit = std::chrono::seconds(30);
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
