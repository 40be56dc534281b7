/**
 * @file
 * Keeps the targets that a control host knows on its disk, for a restart of all control hosts at once.
 */
#pragma once

#include "core/workerpool.h"
#include "targets/target.h"

#include <atomic>
#include <filesystem>
#include <string>
#include <vector>

namespace pimentoshed::control
{

/**
 * Targets announce themselves every one or two seconds. After a loss of all control hosts, the stored targets are known
 * before that. They may have changed meanwhile: they get a lease like that of an announcement, so that those which
 * don't announce themselves are forgotten. Thread-safe.
 */
class TargetStore
{
public:
    /** Uses a file in @p folder, the data folder of the control host. */
    explicit TargetStore(const std::string &folder);

    /** Returns the stored targets; none if there is no file or it can't be read, which is logged. */
    std::vector<targets::Target> load() const;

    /**
     * Stores those of @p targets that serve, in another thread, and returns at once. Returns false if the previous call
     * has not ended. A failure is logged; the file then keeps its content.
     */
    bool save(std::vector<targets::Target> targets);

    /** Waits for the end of the last save. */
    void stop();

private:
    void write(const std::vector<targets::Target> &targets) const;

    const std::filesystem::path m_file;
    std::atomic<bool> m_isSaving{false};
    core::WorkerPool m_worker{1};
};

} // namespace pimentoshed::control
