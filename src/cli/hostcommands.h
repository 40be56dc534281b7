/**
 * @file
 * The subcommands that run a host until a signal stops it, and the one that creates the data folder of a control host
 * of a new system.
 */
#pragma once

#include "cli/commands.h"
#include "control/controlhost.h"
#include "entry/entryhost.h"

#include <functional>

namespace pimentoshed::cli
{

/** Reloads the settings of a running host. */
template<typename Host>
struct SettingsWatch {
    /** Called on SIGHUP with @c isRequested true, and every @c period with @c isRequested false. */
    std::function<void(Host &, bool isRequested)> reload;
    /** Zero: only on SIGHUP. */
    core::Duration period{};
};

/**
 * Makes @p command block SIGTERM, SIGINT and SIGHUP before it parses its arguments, so that they stay pending until the
 * host that it runs waits for them. Every command that runs a host needs this.
 */
void blockSignalsFor(CLI::App &command);

/** Runs a host until SIGTERM or SIGINT. These signals and SIGHUP must be blocked, see blockSignalsFor(). */
ExitCode runControlHost(const control::ControlSettings &settings,
                        const SettingsWatch<control::ControlHost> &watch = {});
ExitCode runEntryHost(const entry::EntrySettings &settings, const SettingsWatch<entry::EntryHost> &watch = {});

void addInitCommand(CLI::App &app, ExitCode &exitCode);
void addControlCommand(CLI::App &app, ExitCode &exitCode);
void addEntryCommand(CLI::App &app, ExitCode &exitCode);

} // namespace pimentoshed::cli
