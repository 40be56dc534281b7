/**
 * @file
 * The course of events that cases 6 and 9 share.
 */
#pragma once

#include "standins.h"

namespace review
{

constexpr unsigned Fronts = 3;
constexpr unsigned RequestsPerFront = 20;
/** A ping lasts for four periods of 1.5 s at most. */
constexpr auto LongestLease = Millis(6000);
constexpr auto ContactWindow = Millis(3000);

/** Sends requests on the route @p name to each front machine. Returns how many were served. */
inline unsigned countServed(const Deployment &deployment, const std::string &name, Record &record)
{
    unsigned total = 0;
    for (unsigned front = 0; front < Fronts; ++front) {
        std::map<int, unsigned> answers;
        for (unsigned number = 0; number < RequestsPerFront; ++number) {
            ++answers[request(deployment.front(front), name).status];
            sleepFor(Millis(10));
        }
        for (const auto &[status, count] : answers) {
            record.write("route %s at front %u: %u requests -> %s",
                         name.c_str(),
                         front,
                         count,
                         status == 0 ? "no answer" : std::to_string(status).c_str());
        }
        total += answers[200];
    }
    return total;
}

using Endpoints = std::vector<std::unique_ptr<Endpoint>>;

inline void startEndpoints(const Deployment &deployment, const std::string &service, unsigned first, Endpoints &endpoints)
{
    for (unsigned number = first; number < first + 3; ++number) {
        endpoints.push_back(std::make_unique<Endpoint>("i-" + std::to_string(number),
                                                       service,
                                                       Deployment::zone(number),
                                                       deployment.endpointAddress(number),
                                                       deployment.controls()));
    }
}

/** What happens to the deployment; hooks that are not set do nothing. */
struct Disruption {
    /** Before the operator adds the route. */
    std::function<void(const Deployment &, Record &)> beforeAddition;
    /** After the added route has been served, and before the front machines are restarted. */
    std::function<void(const Deployment &, Record &)> afterAddition;
};

/**
 * The operator adds a route to a new service, and the front machines are stopped and started in turn. Checks that requests
 * on the added route are served like those on the first one (CONFIG).
 */
inline int runAddedRoute(Record &record, const Disruption &disruption)
{
    Deployment deployment(Fronts);
    const Operator oper(deployment.controls(), record);
    const auto first = document(7, 0, {{"loans", "alpha"}}, {"alpha"});
    if (oper.order("PUT", "/config", first, 0, Millis(15000)) != 200) {
        throw CannotRun{"the first configuration is not accepted"};
    }
    deployment.awaitReady(Millis(15000));
    Endpoints endpoints;
    startEndpoints(deployment, "alpha", 0, endpoints);
    sleepFor(Millis(2000));
    if (hasTrouble() && disruption.beforeAddition) {
        disruption.beforeAddition(deployment, record);
    }
    sleepFor(LongestLease + Millis(2000));

    const auto second = document(8, 7, {{"loans", "alpha"}, {"fees", "beta"}}, {"alpha", "beta"});
    const auto status = oper.order("PUT", "/config", second, 0);
    startEndpoints(deployment, "beta", 3, endpoints);
    sleepFor(Millis(4000));
    record.write("before the front machines are restarted:");
    const unsigned before = countServed(deployment, "fees", record);
    if (status != 200 || before < RequestsPerFront * Fronts / 2) {
        throw CannotRun{"the added route isn't served from the start"};
    }
    if (hasTrouble() && disruption.afterAddition) {
        disruption.afterAddition(deployment, record);
        sleepFor(LongestLease);
    }

    for (unsigned front = 0; front < Fronts; ++front) {
        record.write("front %u gets SIGTERM and is started again when it has ended", front);
        deployment.fronts[front]->signal(SIGTERM);
        for (unsigned step = 0; step < 160 && deployment.fronts[front]->isRunning(); ++step) {
            sleepFor(Millis(50));
        }
        deployment.fronts[front]->kill();
        deployment.fronts[front]->start();
        deployment.awaitReady(Millis(10000));
        sleepFor(Millis(1000));
    }
    sleepFor(ContactWindow + Millis(5000));
    record.write("in steady state, %d s after the last start:", 9);
    const unsigned later = countServed(deployment, "fees", record);
    const unsigned usual = countServed(deployment, "loans", record);
    record.write("first route: %u of %u served; added route: %u of %u served",
                 usual,
                 RequestsPerFront * Fronts,
                 later,
                 RequestsPerFront * Fronts);
    for (const auto &endpoint : endpoints) {
        record.write("endpoint %s: latest ping %s, %zu requests run",
                     endpoint->id().c_str(),
                     endpoint->isAnnounced() ? "acknowledged" : "not acknowledged",
                     endpoint->runCount());
    }
    if (usual < RequestsPerFront * Fronts / 2) {
        throw CannotRun{"the first route isn't served"};
    }
    return later * 4 < usual ? RuleBroken : RuleHeld;
}

} // namespace review
