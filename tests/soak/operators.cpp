#include "soak/operators.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace pimentoshed::soak
{

using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr auto AttemptTimeout = 7s;
constexpr auto StateTimeout = 1s;
constexpr auto RetryPause = 200ms;
constexpr unsigned MaxAttempts = 20;
/** Time between two reads of all hosts. */
constexpr auto ObservePeriod = 300ms;

json fetchJson(const std::string &address, const std::string &path)
{
    const auto answer = http::fetch(address, {"GET", path, {}, {}}, StateTimeout);
    return core::ok(answer) ? json::parse(core::value(answer).body, nullptr, false) : json();
}

/** The active configuration as the first control host that answers sees it. */
json readConfiguration(const Fleet &fleet)
{
    for (unsigned i = 0; i < fleet.size().control; ++i) {
        const auto state = fetchJson(fleet.operatorAddress(i), "/pimentoshed/v1/state");
        if (state.is_object() && !state["log"]["leader"].get<std::string>().empty()) {
            return state["standing"];
        }
    }
    return {};
}

} // namespace

OperatorHabit calmOperator()
{
    return {"soak", true, [](const core::RandomSource &random) {
                return 500ms + 1ms * core::randomBelow(random, 3000);
            }};
}

OperatorHabit hastyOperator()
{
    constexpr unsigned SeriesLength = 8;
    return {"series", false, [](const core::RandomSource &random) {
                return core::randomBelow(random, SeriesLength) == 0 ? 4000ms : 100ms;
            }};
}

Operator::Operator(const Fleet &fleet, OperatorHabit habit, std::uint64_t seed)
    : m_fleet(fleet)
    , m_habit(std::move(habit))
    , m_random(core::seededRandom(seed))
    , m_thread([this]() {
        run();
    })
{
}

Operator::~Operator()
{
    stop();
}

void Operator::stop()
{
    m_isStopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::vector<AcknowledgedChange> Operator::changes() const
{
    const std::lock_guard lock(m_mutex);
    return m_changes;
}

std::vector<DomainOutage> Operator::outages() const
{
    const std::lock_guard lock(m_mutex);
    return m_outages;
}

void Operator::run()
{
    while (!m_isStopping) {
        if (m_habit.changesDomains && core::randomBelow(m_random, 3) == 0) {
            changeDomain();
        } else {
            applyFile();
        }
        std::this_thread::sleep_for(m_habit.pause(m_random));
    }
    if (m_outDomain) {
        setDomainOut(*m_outDomain, false);
    }
}

void Operator::applyFile()
{
    const auto known = readConfiguration(m_fleet);
    if (known.is_object()) {
        send("/pimentoshed/v1/configuration", m_fleet.operatorFile(known["version"].get<std::uint64_t>()));
    }
}

void Operator::changeDomain()
{
    const std::string domain = m_outDomain.value_or(DomainNames.at(core::randomBelow(m_random, DomainNames.size())));
    const bool out = !m_outDomain.has_value();
    if (setDomainOut(domain, out)) {
        m_outDomain = out ? std::optional(domain) : std::nullopt;
    }
}

bool Operator::setDomainOut(const std::string &domain, bool out)
{
    const auto known = readConfiguration(m_fleet);
    if (!known.is_object() || !known["failure_domains"].contains(domain)) {
        return false;
    }
    if (!out) {
        // The return may take effect without an acknowledgement, so the outage ends when it is requested.
        const std::lock_guard lock(m_mutex);
        m_outages.back().time.until = core::steadyNow();
    }
    const bool isAcknowledged = send(fmt::format("/pimentoshed/v1/failure-domains/{}/{}?replaces={}",
                                                 domain,
                                                 out ? "take-out" : "return",
                                                 known["failure_domains"][domain]["changes"].get<std::uint64_t>()),
                                     {});
    if (isAcknowledged && out) {
        const std::lock_guard lock(m_mutex);
        m_outages.push_back({domain, {core::steadyNow(), core::TimePoint::max()}});
    }
    return isAcknowledged;
}

bool Operator::send(const std::string &path, const std::string &body)
{
    const auto id = fmt::format("{}-{}", m_habit.name, ++m_changeCount);
    for (unsigned attempt = 0; attempt < MaxAttempts; ++attempt) {
        const auto control = static_cast<unsigned>(core::randomBelow(m_random, m_fleet.size().control));
        const auto answer =
            http::fetch(m_fleet.operatorAddress(control), {"POST", path, {{"Change-Id", id}}, body}, AttemptTimeout);
        if (core::ok(answer) && core::value(answer).status == 200) {
            const auto accepted = json::parse(core::value(answer).body);
            const std::lock_guard lock(m_mutex);
            m_changes.push_back({accepted["revision"].get<std::uint64_t>(), core::steadyNow()});
            return true;
        }
        if (core::ok(answer) && core::value(answer).status < 500) {
            return false;
        }
        std::this_thread::sleep_for(RetryPause);
    }
    return false;
}

Observer::Observer(const Fleet &fleet)
    : m_fleet(fleet)
    , m_thread([this]() {
        run();
    })
{
}

Observer::~Observer()
{
    stop();
}

void Observer::stop()
{
    m_isStopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::vector<RevisionRead> Observer::reads() const
{
    const std::lock_guard lock(m_mutex);
    return m_reads;
}

void Observer::run()
{
    while (!m_isStopping) {
        for (unsigned i = 0; i < m_fleet.size().control; ++i) {
            read(m_fleet.controlName(i), m_fleet.controlStateAddress(i));
        }
        for (unsigned i = 0; i < m_fleet.size().entry; ++i) {
            read(m_fleet.entryName(i), m_fleet.entryStateAddress(i));
        }
        std::this_thread::sleep_for(ObservePeriod);
    }
}

void Observer::read(const std::string &host, const std::string &address)
{
    RevisionRead read;
    read.host = host;
    read.process = m_fleet.processOf(host);
    if (read.process == 0) {
        return;
    }
    read.sent = core::steadyNow();
    const auto state = fetchJson(address, "/pimentoshed/v1/state");
    if (!state.is_object() || m_fleet.processOf(host) != read.process) {
        return;
    }
    const bool isEntry = state["role"] == "entry";
    read.revision =
        isEntry ? state["revision"].get<std::uint64_t>() : state["standing"]["revision"].get<std::uint64_t>();
    read.isCurrent = isEntry && state["current"].get<bool>();
    const std::lock_guard lock(m_mutex);
    m_reads.push_back(read);
}

} // namespace pimentoshed::soak
