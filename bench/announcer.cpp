#include "announcer.h"

#include "http/client.h"
#include "samples.h"

#include <chrono>
#include <fmt/format.h>
#include <utility>

namespace pimentoshed::bench
{

namespace
{

constexpr unsigned Threads = 6;
constexpr auto RenewalPeriod = std::chrono::seconds(2);

} // namespace

Announcer::Announcer(AnnouncerSettings settings)
    : m_settings(std::move(settings))
{
    for (unsigned i = 0; i < Threads; ++i) {
        m_threads.emplace_back([this, i]() {
            run(i);
        });
    }
}

Announcer::~Announcer()
{
    m_stopped = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
}

void Announcer::run(unsigned thread)
{
    const auto started = std::chrono::steady_clock::now();
    for (unsigned round = 0; !m_stopped; ++round) {
        for (unsigned i = thread; i < m_settings.targets && !m_stopped; i += Threads) {
            // Announcements are spread over the period, except in the first round, which starts all targets at once.
            const auto offset = RenewalPeriod * i / m_settings.targets;
            std::this_thread::sleep_until(started + RenewalPeriod * round + (round == 0 ? RenewalPeriod * 0 : offset));
            announce(i);
        }
        std::this_thread::sleep_until(started + RenewalPeriod * (round + 1));
    }
}

void Announcer::announce(unsigned target) const
{
    const auto sample = sampleTarget(target, m_settings.services);
    http::ClientRequest request;
    request.method = "POST";
    request.target = "/pimentoshed/v1/targets";
    request.body = fmt::format(R"({{"id":"{}","service":"{}","failure_domain":"{}","address":"{}",)"
                               R"("incarnation":{},"sequence":{},"condition":"warm"}})",
                               sample.id.str(),
                               sample.service.str(),
                               sample.domain.str(),
                               sample.address,
                               sample.version.incarnation,
                               sample.version.sequence);
    const auto &entry = m_settings.entryAddresses[target % m_settings.entryAddresses.size()];
    http::fetch(entry, request, std::chrono::seconds(1));
}

} // namespace pimentoshed::bench
