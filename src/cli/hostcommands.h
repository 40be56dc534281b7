/**
 * @file
 * The subcommands that run a host until it is told to stop, and the one that makes a new system's data folder.
 */
#pragma once

#include "cli/commands.h"
#include "control/controlhost.h"
#include "entry/entryhost.h"

#include <functional>

namespace pimentoshed::cli
{

/** Looks for new settings while a host runs. */
template<typename Host>
struct SettingsWatch {
    /** Called on SIGHUP, and each @c period besides. */
    std::function<void(Host &, bool asked)> check;
    core::Duration period{};
};

/** Runs a host until SIGTERM or SIGINT. */
ExitCode runControlHost(const control::ControlSettings &settings,
                        const SettingsWatch<control::ControlHost> &watch = {});
ExitCode runEntryHost(const entry::EntrySettings &settings, const SettingsWatch<entry::EntryHost> &watch = {});

void addInit(CLI::App &app, ExitCode &exitCode);
void addControl(CLI::App &app, ExitCode &exitCode);
void addEntry(CLI::App &app, ExitCode &exitCode);

} // namespace pimentoshed::cli
