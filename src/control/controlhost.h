/**
 * @file
 * The control role: replicates the operators' changes and sends configuration, hosts and targets to entry hosts.
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

/** Settings of a control host. */
struct ControlSettings {
    core::HostId id;
    std::string operatorListen;
    std::string rpcListen;
    std::string dataFolder;
    /** RPC addresses of the control hosts, this one included. */
    PeerAddresses peers;
    std::size_t workers = 2;
    core::FailureDomain domain;
    /** Second HTTP address, for callers, with the same handler as operatorListen; empty for none. */
    std::string callerListen;
    /** First members of a new system. Used only if this host is one of them and its data folder is empty. */
    std::vector<core::HostId> initialMembers;
    /**
     * Number of voters that the system should have. Joining hosts are added up to this number, and replace voters that
     * no longer respond. 0: this host does not request to join.
     */
    std::size_t maxVoters = 0;
    /** Returns the RPC address of a member that @c peers does not list. */
    std::function<std::string(const core::HostId &)> addressOf;
    /** Parses the operators' configuration files. */
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

    /**
     * Opens the replicated log, binds the addresses and starts. Errors: SettingInvalid, ListenFailed, those of
     * Replicator::open.
     */
    static core::Result<std::unique_ptr<ControlHost>> start(const ControlSettings &settings);

    /** Adds or replaces RPC addresses of control hosts, which this host asks to join while it is not a member. */
    void updatePeers(const PeerAddresses &peers);

    /** Stops gracefully; returns when no request is in progress. */
    void stop();

private:
    class Impl;
    explicit ControlHost(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> m_impl;
};

} // namespace pimentoshed::control
