/**
 * @file
 * The control role: takes operators' changes and passes what entry hosts must know.
 */
#pragma once

#include "configuration/parser.h"
#include "control/operatorhttphandler.h"
#include "control/peerclients.h"
#include "core/error.h"
#include "core/ids.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

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
    core::FailureDomain domain;
    /** A second address that is served like operatorListen; empty where there is none. */
    std::string callerListen;
    /** The first members, where a new system starts; used with an empty data folder only. */
    std::vector<core::HostId> initialMembers;
    /** Members that the system wants: newcomers get seats up to here, and those of silent members. 0: none do. */
    std::size_t maxVoters = 0;
    /** Where a member takes the calls of other hosts that is not among the peers. */
    std::function<std::string(const core::HostId &)> addressOf;
    /** Reads the operators' files. */
    configuration::FileParser parser = configuration::parse;
    HttpHandlerFactory makeHttpHandler = makeOperatorHttpHandler;
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

    /** Takes where control hosts are, to ask them where this one has no part in the log. */
    void updatePeers(const PeerAddresses &peers);

    /** Stops gracefully; returns when nothing is in progress. */
    void stop();

private:
    class Impl;
    explicit ControlHost(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> m_impl;
};

} // namespace pimentoshed::control
