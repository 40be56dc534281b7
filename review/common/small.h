// The configuration, endpoints and consumers that several scripts share.
#pragma once

#include "harness.h"

#include <memory>

namespace harness
{

/** A configuration with one service, a safe route /a/ and an unsafe route /b/. */
inline std::string configuration(const std::string &version,
                                 const std::string &base,
                                 const std::string &timeout = "2000ms",
                                 const std::string &slo = "600ms")
{
    const std::string common = "\"hostname\":\"loans.example\",\"timeout\":\"" + timeout + "\",\"slo\":\"" + slo
                               + "\",\"priority\":0,\"service\":\"loans\",\"attempts\":2";
    return "{\"version\":\"" + version + "\",\"base_version\":\"" + base
           + "\",\"routes\":{\"reads\":{\"path_prefix\":\"/a/\",\"kind\":\"safe\"," + common
           + "},\"writes\":{\"path_prefix\":\"/b/\",\"kind\":\"unsafe\"," + common
           + "}},\"services\":{\"loans\":{\"health_path\":\"/health\",\"max_conns\":260,\"protocol\":\"h1\",\"tls\":false,"
             "\"cold\":\"3s\",\"cold_per_s\":20.0}},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
             "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}";
}

/** Sends the first configuration until it is accepted, and waits for the entry hosts. */
inline void configure(Deployment &deployment, Operator &operators, const std::string &document)
{
    sleepFor(0.5);
    if (operators.order("PUT", "/config", document, 0, 20) != 200) {
        throw Failure{"the first configuration was not accepted"};
    }
    deployment.awaitReady();
}

/** Endpoints of one service, spread over the zones. */
inline std::vector<std::unique_ptr<Server>> startServers(Deployment &deployment,
                                                         unsigned count,
                                                         Runs &runs,
                                                         ServerOptions options = {})
{
    std::vector<std::unique_ptr<Server>> servers;
    const auto controls = controlAddresses(deployment, static_cast<unsigned>(deployment.controls.size()));
    for (unsigned i = 0; i < count; ++i) {
        options.id = "i-" + std::to_string(::getpid()) + "-" + options.service + std::to_string(i);
        options.address = deployment.serverAddress(i);
        options.zone = deployment.zoneOf(i);
        servers.push_back(std::make_unique<Server>(options, controls, runs));
    }
    const double end = now() + 10;
    for (const auto &server : servers) {
        while (!server->isAnnounced()) {
            if (now() > end) {
                throw Failure{"an endpoint could not announce itself"};
            }
            sleepFor(0.02);
        }
    }
    return servers;
}

/** Sends look-ups to all entry hosts in turn, except to those that have failed it, until it is destroyed. */
class Lookups
{
public:
    Lookups(Deployment &deployment, double perSecond)
        : m_hasFailed(deployment.entryCount())
    {
        m_thread = std::thread([this, &deployment, perSecond]() {
            std::vector<std::thread> calls;
            for (unsigned i = 0; !m_stopped; ++i) {
                if (m_hasFailed[i % deployment.entryCount()]) {
                    continue;
                }
                calls.emplace_back([this, &deployment, i]() {
                    const auto id = "look" + std::to_string(i);
                    const auto answer = call(deployment.frontAddress(i % deployment.entryCount()),
                                             "GET",
                                             "/a/" + std::to_string(i),
                                             "",
                                             2.5,
                                             {{"Host", "loans.example"}, {"X-Request-Id", id}, {"X-Timeout-Ms", "2000"}});
                    if (answer.status() == 0) {
                        m_hasFailed[i % deployment.entryCount()] = true;
                    }
                    ++m_sent;
                    m_served += answer.status() == 200 ? 1 : 0;
                });
                sleepFor(1 / perSecond);
            }
            for (auto &each : calls) {
                each.join();
            }
        });
    }
    ~Lookups()
    {
        m_stopped = true;
        m_thread.join();
    }
    unsigned sent() const
    {
        return m_sent;
    }
    unsigned served() const
    {
        return m_served;
    }

private:
    std::vector<std::atomic<bool>> m_hasFailed;
    std::atomic<bool> m_stopped{false};
    std::atomic<unsigned> m_sent{0};
    std::atomic<unsigned> m_served{0};
    std::thread m_thread;
};

} // namespace harness
