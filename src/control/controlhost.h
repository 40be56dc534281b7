/**
 * @file
 * The control role: takes operators' changes and passes what entry hosts must know.
 */
#pragma once

#include "control/peers.h"
#include "core/error.h"
#include "core/ids.h"

#include <cstddef>
#include <memory>
#include <string>

namespace pimentoshed::control
{

/** What a control host is started with. */
struct ControlSettings {
    core::HostId id;
    std::string operatorListen;
    std::string rpcListen;
    std::string dataFolder;
    /** Where every control host takes the calls of other hosts, this one included. */
    PeerAddresses peers;
    std::size_t workers = 2;
};

/** A running control host. */
class ControlHost
{
public:
    ~ControlHost();
    ControlHost(const ControlHost &) = delete;
    ControlHost &operator=(const ControlHost &) = delete;

    /** Binds and starts. Errors: SettingInvalid, ListenFailed, those of Replicator::open. */
    static core::Result<std::unique_ptr<ControlHost>> start(const ControlSettings &settings);

    /** Stops gracefully; returns when nothing is in progress. */
    void stop();

private:
    class Impl;
    explicit ControlHost(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> m_impl;
};

} // namespace pimentoshed::control
