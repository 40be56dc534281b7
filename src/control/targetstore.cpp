#include "control/targetstore.h"

#include "core/log.h"
#include "journal/file.h"
#include "journal/frame.h"
#include "rpc/codec.h"

#include <future>
#include <utility>

namespace pimentoshed::control
{

namespace
{

constexpr const char *FileName = "targets";

bool serves(const targets::Target &target)
{
    return target.condition == targets::Condition::Cold || target.condition == targets::Condition::Warm;
}

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

TargetStore::TargetStore(const std::string &folder)
    : m_file(std::filesystem::path(folder) / FileName)
{
}

std::vector<targets::Target> TargetStore::load() const
{
    std::error_code ignored;
    if (!std::filesystem::exists(m_file, ignored)) {
        return {};
    }
    const auto bytes = journal::readFile(m_file);
    if (!core::ok(bytes)) {
        logUnreadable(core::error(bytes));
        return {};
    }
    const auto frames = journal::parseFrames(core::value(bytes));
    if (!core::ok(frames)) {
        logUnreadable(core::error(frames));
        return {};
    }
    std::vector<targets::Target> loaded;
    for (const auto &record : core::value(frames).records) {
        auto target = decode(record);
        if (core::ok(target)) {
            loaded.push_back(std::move(core::value(target)));
        } else {
            logUnreadable(core::error(target));
        }
    }
    return loaded;
}

bool TargetStore::save(std::vector<targets::Target> targets)
{
    if (m_isSaving.exchange(true)) {
        return false;
    }
    m_worker.post([this, saved = std::move(targets)]() {
        write(saved);
        m_isSaving = false;
    });
    return true;
}

void TargetStore::stop()
{
    std::promise<void> saved;
    m_worker.post([&saved]() {
        saved.set_value();
    });
    saved.get_future().wait();
    m_worker.stop();
}

void TargetStore::write(const std::vector<targets::Target> &targets) const
{
    std::string bytes;
    for (const auto &target : targets) {
        if (serves(target)) {
            rpc::Target message;
            rpc::encode(target, message);
            bytes += journal::encodeFrame(message.SerializeAsString());
        }
    }
    const auto written = journal::replaceFile(m_file, bytes, journal::FileHooks::system());
    if (!core::ok(written)) {
        core::log(core::LogLevel::Warning, "targets-not-stored", {{"error", describe(core::error(written))}});
    }
}

} // namespace pimentoshed::control
