#include "tables.h"

#include "allocations.h"
#include "changes/ledger.h"
#include "configuration/parser.h"
#include "core/random.h"
#include "membership/membershipfeed.h"
#include "routing/router.h"
#include "rpc/codec.h"
#include "rpc/compression.h"
#include "samples.h"
#include "targets/targettable.h"
#include "telemetry/process.h"

#include <functional>
#include <memory>

namespace pimentoshed::bench
{

namespace
{

constexpr std::array<unsigned, 4> TargetSizes{36, 300, 1200, 4100};
constexpr std::array<unsigned, 4> ServiceTargetSizes{3, 10, 30, 100};
constexpr std::array<unsigned, 4> ServiceSizes{4, 40, 150, 430};
constexpr std::array<unsigned, 4> HostSizes{3, 9, 17, 50};
constexpr unsigned SampleServices = 430;
constexpr auto LeaseEnd = core::TimePoint::max();

/** Mean processor time of a call of @p step, in microseconds. Calls it until 100 ms of processor time are used. */
double cpuMicros(const std::function<void()> &step)
{
    constexpr auto MinCpuTime = std::chrono::milliseconds(100);
    const auto begin = telemetry::processUsage().cpu;
    core::Duration used{};
    std::size_t calls = 0;
    for (std::size_t batch = 1; used < MinCpuTime; batch *= 2) {
        for (std::size_t i = 0; i < batch; ++i) {
            step();
        }
        calls += batch;
        used = telemetry::processUsage().cpu - begin;
    }
    return core::toSeconds(used) * 1e6 / static_cast<double>(calls);
}

/** Bytes of heap that the object created by @p make uses. */
double heapOf(const std::function<std::shared_ptr<void>()> &make)
{
    const auto before = heapInUse();
    const auto made = make();
    return static_cast<double>(heapInUse() - before);
}

std::shared_ptr<targets::TargetTable> tableOf(unsigned targets, unsigned services)
{
    auto table = std::make_shared<targets::TargetTable>();
    for (unsigned i = 0; i < targets; ++i) {
        table->announce(sampleTarget(i, services), LeaseEnd);
    }
    return table;
}

std::shared_ptr<membership::MembershipFeed> feedOf(unsigned targets, unsigned hosts)
{
    auto feed = std::make_shared<membership::MembershipFeed>();
    for (unsigned i = 0; i < targets; ++i) {
        feed->updateTarget(sampleTarget(i, SampleServices));
    }
    for (unsigned i = 0; i < hosts; ++i) {
        feed->recordContact(sampleHost(i), {});
    }
    return feed;
}

rpc::FollowReply replyOf(const membership::FeedUpdate &update)
{
    rpc::FollowReply reply;
    reply.set_feed_position(update.position);
    for (const auto &target : update.targets) {
        rpc::encode(target, *reply.add_targets());
    }
    rpc::encode(update.hosts, reply);
    return reply;
}

void measureTargets(Results &results, unsigned size)
{
    results.add(Measure::TargetTableHeap, size, heapOf([size]() {
                    return tableOf(size, SampleServices);
                }));
    results.add(Measure::FeedTargetHeap, size, heapOf([size]() {
                    return feedOf(size, 0);
                }));
    const auto table = tableOf(size, SampleServices);
    unsigned next = 0;
    std::vector<targets::Target> announcements;
    for (unsigned i = 0; i < size; ++i) {
        announcements.push_back(sampleTarget(i, SampleServices));
    }
    results.add(Measure::AnnounceCpu, size, cpuMicros([&]() {
                    table->announce(announcements[next++ % size], LeaseEnd);
                }));
    results.add(Measure::ExpireCpu, size, cpuMicros([&]() {
                    table->expire({});
                }));
    const auto feed = feedOf(size, 0);
    results.add(
        Measure::AllTargetsBytes,
        size,
        static_cast<double>(replyOf(feed->updateSince(0, membership::SubscriberKind::EntryHosts)).ByteSizeLong()));
    results.add(Measure::FeedAnswerCpu, size, cpuMicros([&]() {
                    auto &announcement = announcements[next++ % size];
                    const auto position = feed->position(membership::SubscriberKind::EntryHosts);
                    ++announcement.version.sequence;
                    feed->updateTarget(announcement);
                    replyOf(feed->updateSince(position, membership::SubscriberKind::EntryHosts)).SerializeAsString();
                }));
}

void measureRouting(Results &results, unsigned size)
{
    const auto table = tableOf(size, 1);
    routing::RouterHooks hooks;
    hooks.picker = routing::makePicker(routing::PickerKind::LeastExpectedTime);
    hooks.random = core::seededRandom(1);
    routing::Router router(core::FailureDomain("ravne"), hooks);
    const auto service = sampleService(0);
    const auto file = std::make_shared<configuration::Configuration>();
    file->services = {configuration::Service{}};
    file->services.front().name = service;
    router.configure(file);
    for (const auto &target : table->all()) {
        router.update(target);
    }
    core::TimePoint now;
    results.add(Measure::RoutingCpu, size, cpuMicros([&]() {
                    now += std::chrono::microseconds(1);
                    const auto assigned = router.assign(service, now);
                    router.release(core::value(assigned), {routing::AttemptOutcome::Answered, {}, std::nullopt}, now);
                }));
}

void measureHosts(Results &results, unsigned size)
{
    results.add(Measure::FeedHostHeap, size, heapOf([size]() {
                    return feedOf(0, size);
                }));
    const auto feed = feedOf(0, size);
    results.add(
        Measure::HostListBytes,
        size,
        static_cast<double>(replyOf(feed->updateSince(0, membership::SubscriberKind::EntryHosts)).ByteSizeLong()));
    const auto hosts = feed->hosts();
    const auto random = core::seededRandom(1);
    results.add(Measure::AddressCpu, size, cpuMicros([&]() {
                    membership::chooseAddresses(hosts, {}, core::FailureDomain("ravne"), 3, random);
                }));
}

void measureServices(Results &results, unsigned size)
{
    const auto text = sampleFile(size, 0);
    results.add(Measure::ParseCpu, size, cpuMicros([&]() {
                    configuration::parse(text);
                }));
    changes::Ledger ledger;
    ledger.apply(changes::ApplyFile{core::ChangeId("1"), text});
    rpc::FollowReply reply;
    rpc::encode(ledger.activeConfiguration(), *reply.mutable_standing());
    reply.mutable_standing()->set_packed_text(rpc::compress(ledger.activeConfiguration().text));
    results.add(Measure::ConfigurationBytes, size, static_cast<double>(reply.ByteSizeLong()));
    results.add(Measure::ConfigurationDecodeCpu, size, cpuMicros([&]() {
                    rpc::decode(reply.standing(), nullptr, configuration::parse);
                }));
    results.add(Measure::ConfigurationHeap, size, heapOf([&]() {
                    return std::make_shared<core::Result<changes::ActiveConfiguration>>(
                        rpc::decode(reply.standing(), nullptr, configuration::parse));
                }));
}

} // namespace

void measureTables(Results &results)
{
    for (const auto size : TargetSizes) {
        measureTargets(results, size);
    }
    for (const auto size : ServiceTargetSizes) {
        measureRouting(results, size);
    }
    for (const auto size : HostSizes) {
        measureHosts(results, size);
    }
    for (const auto size : ServiceSizes) {
        measureServices(results, size);
    }
}

} // namespace pimentoshed::bench
