#include "control/targetstore.h"

#include "core/log.h"
#include "journal/file.h"
#include "journal/frame.h"
#include "rpc/codec.h"

#include <utility>

namespace pimentoshed::control
{

namespace
{

constexpr const char *FileName = "targets";
/** Interval between two looks whether targets have changed since they were last stored. */
constexpr auto SavePeriod = std::chrono::seconds(1);

core::Result<targets::Target> decode(const std::string &bytes)
{
    rpc::Target message;
    if (!message.ParseFromString(bytes)) {
        return core::Error{core::ErrorCode::MessageMalformed, "stored target"};
    }
    return rpc::decode(message);
}

void logUnreadable(const core::Error &error)
{
    core::log(core::LogLevel::Warning, "stored-targets-unreadable", {{"error", describe(error)}});
}

} // namespace

TargetStore::TargetStore(const std::string &folder, Dependencies dependencies, core::TimePoint now)
    : m_file(std::filesystem::path(folder) / FileName)
    , m_dependencies(std::move(dependencies))
    , m_restoreEnd(now + m_dependencies.leaseLength())
{
    load();
}

void TargetStore::load()
{
    std::error_code ignored;
    if (!std::filesystem::exists(m_file, ignored)) {
        return;
    }
    const auto bytes = journal::readFile(m_file);
    if (!core::ok(bytes)) {
        logUnreadable(core::error(bytes));
        return;
    }
    const auto frames = journal::parseFrames(core::value(bytes));
    if (!core::ok(frames)) {
        logUnreadable(core::error(frames));
        return;
    }
    for (const auto &record : core::value(frames).records) {
        auto target = decode(record);
        if (core::ok(target)) {
            m_loaded.push_back(std::move(core::value(target)));
        } else {
            logUnreadable(core::error(target));
        }
    }
}

void TargetStore::tick(core::TimePoint now)
{
    if (!m_loaded.empty()) {
        restore(now);
    } else if (now >= m_nextSave) {
        m_nextSave = now + SavePeriod;
        save();
    }
}

void TargetStore::restore(core::TimePoint now)
{
    const bool isTooLate = now >= m_restoreEnd;
    if (!isTooLate && !m_dependencies.mayRestore()) {
        return;
    }
    const auto restored = isTooLate ? 0 : m_dependencies.registry.restore(m_loaded, now + m_dependencies.leaseLength());
    core::log(
        core::LogLevel::Info,
        "targets-restored",
        {{"stored", static_cast<std::uint64_t>(m_loaded.size())}, {"restored", static_cast<std::uint64_t>(restored)}});
    m_loaded.clear();
}

void TargetStore::save()
{
    const auto &feed = m_dependencies.membershipFeed;
    const auto position = feed.position(membership::SubscriberKind::EntryHosts);
    const bool isStored = position == m_savedPosition && !m_hasFailed;
    if (isStored || m_isSaving.exchange(true)) {
        return;
    }
    m_savedPosition = position;
    m_worker.post([this, saved = feed.targets()]() {
        write(saved);
        m_isSaving = false;
    });
}

void TargetStore::stop()
{
    m_worker.finish();
}

void TargetStore::write(const std::vector<targets::Target> &targets)
{
    std::string bytes;
    for (const auto &target : targets) {
        if (targets::takesRequests(target.condition)) {
            rpc::Target message;
            rpc::encode(target, message);
            bytes += journal::encodeFrame(message.SerializeAsString());
        }
    }
    const auto written = journal::replaceFile(m_file, bytes, journal::FileHooks::system());
    const bool isFirstFailure = !m_hasFailed.exchange(!core::ok(written));
    if (!core::ok(written) && isFirstFailure) {
        core::log(core::LogLevel::Warning, "targets-not-stored", {{"error", describe(core::error(written))}});
    }
}

} // namespace pimentoshed::control
