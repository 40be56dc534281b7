#include "cli/operatorcommands.h"

#include "configuration/parser.h"
#include "http/client.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>

namespace pimentoshed::cli
{

namespace
{

constexpr auto ResponseTimeout = std::chrono::seconds(10);

/** Arguments of the operators' commands; each command uses some of them. */
struct OperatorFlags {
    std::string address;
    std::string file;
    std::string domain;
    std::string changeId;
    std::string service;
    std::string softwareVersion;
    std::uint64_t overMs = 0;
};

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        fmt::print(stderr, "{}\n", core::describe({core::ErrorCode::FileUnreadable, path}));
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

std::string makeChangeId()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}", device(), device());
}

std::string changeIdOf(const OperatorFlags &flags)
{
    return flags.changeId.empty() ? makeChangeId() : flags.changeId;
}

/** Sends @p request and prints the body of the response: to standard output if the status is 200, else to stderr. */
ExitCode sendAndPrint(const std::string &address, const http::ClientRequest &request)
{
    const auto response = http::fetch(address, request, ResponseTimeout);
    if (!core::ok(response)) {
        fmt::print(stderr, "{}\n", core::describe(core::error(response)));
        return ExitCode::Unreachable;
    }
    const auto &[status, headers, body] = core::value(response);
    constexpr unsigned Ok = 200;
    fmt::print(status == Ok ? stdout : stderr, "{}", body);
    return status == Ok ? ExitCode::Success : ExitCode::Refused;
}

ExitCode checkFile(const OperatorFlags &flags)
{
    const auto text = readFile(flags.file);
    if (!text) {
        return ExitCode::Refused;
    }
    const auto parsed = configuration::parse(*text);
    if (const auto *mistakes = std::get_if<std::vector<configuration::Mistake>>(&parsed)) {
        for (const auto &mistake : *mistakes) {
            fmt::print(stderr, "{}:{}\n", flags.file, configuration::describe(mistake));
        }
        return ExitCode::Refused;
    }
    fmt::print("{}: valid\n", flags.file);
    return ExitCode::Success;
}

ExitCode applyFile(const OperatorFlags &flags)
{
    auto text = readFile(flags.file);
    if (!text) {
        return ExitCode::Refused;
    }
    http::ClientRequest request;
    request.method = "POST";
    request.target = "/pimentoshed/v1/configuration";
    request.headers.emplace_back("Change-Id", changeIdOf(flags));
    request.body = std::move(*text);
    return sendAndPrint(flags.address, request);
}

/**
 * Returns how often the failure domain has changed so far, according to the control host. On failure prints the error
 * and returns std::nullopt.
 */
std::optional<std::uint64_t> fetchChangeCount(const OperatorFlags &flags)
{
    const auto response = http::fetch(flags.address, {"GET", "/pimentoshed/v1/state", {}, {}}, ResponseTimeout);
    if (!core::ok(response)) {
        fmt::print(stderr, "{}\n", core::describe(core::error(response)));
        return std::nullopt;
    }
    const auto state = nlohmann::json::parse(core::value(response).body, nullptr, false);
    const nlohmann::json::json_pointer pointer("/standing/failure_domains/" + flags.domain + "/changes");
    if (state.is_discarded() || !state.contains(pointer)) {
        fmt::print(stderr, "{}\n", core::describe({core::ErrorCode::UnknownDomain, flags.domain}));
        return std::nullopt;
    }
    return state.at(pointer).get<std::uint64_t>();
}

/**
 * Takes the failure domain out of service or returns it, as @p verb says. States how often the domain has changed, so
 * that the control host refuses the request if another change came first.
 */
ExitCode moveDomain(const OperatorFlags &flags, const std::string &verb)
{
    const auto replaces = fetchChangeCount(flags);
    if (!replaces) {
        return ExitCode::Refused;
    }
    http::ClientRequest request;
    request.method = "POST";
    request.target = fmt::format("/pimentoshed/v1/failure-domains/{}/{}?replaces={}", flags.domain, verb, *replaces);
    request.headers.emplace_back("Change-Id", changeIdOf(flags));
    return sendAndPrint(flags.address, request);
}

CLI::App *addCommand(CLI::App &app,
                     const std::string &name,
                     const std::string &description,
                     const std::shared_ptr<OperatorFlags> &flags)
{
    auto *command = app.add_subcommand(name, description);
    command->add_option("--at", flags->address, "IP:PORT of the host to send the command to")
        ->envname("PIMENTOSHED_AT")
        ->required();
    return command;
}

void addDomainCommand(CLI::App &app, const std::string &verb, const std::string &description, ExitCode &exitCode)
{
    const auto flags = std::make_shared<OperatorFlags>();
    auto *command = addCommand(app, verb, description, flags);
    command->add_option("domain", flags->domain, "The failure domain")->required();
    command->add_option("--change-id", flags->changeId, "Id of the change; give the same id to resend it");
    command->callback([flags, verb, &exitCode]() {
        exitCode = moveDomain(*flags, verb);
    });
}

void addFileCommands(CLI::App &app, ExitCode &exitCode)
{
    const auto flags = std::make_shared<OperatorFlags>();
    auto *checkCommand = app.add_subcommand("check", "Checks an operator's file");
    checkCommand->add_option("file", flags->file, "The file")->required();
    checkCommand->callback([flags, &exitCode]() {
        exitCode = checkFile(*flags);
    });
    auto *applyCommand = addCommand(app, "apply", "Applies an operator's file as a whole", flags);
    applyCommand->add_option("file", flags->file, "The file")->required();
    applyCommand->add_option("--change-id", flags->changeId, "Id of the change; give the same id to resend it");
    applyCommand->callback([flags, &exitCode]() {
        exitCode = applyFile(*flags);
    });
}

ExitCode startRollout(const OperatorFlags &flags)
{
    http::ClientRequest request;
    request.method = "POST";
    request.target = fmt::format(
        "/pimentoshed/v1/rollouts/{}?version={}&over_ms={}", flags.service, flags.softwareVersion, flags.overMs);
    request.headers.emplace_back("Change-Id", changeIdOf(flags));
    return sendAndPrint(flags.address, request);
}

void addRolloutCommands(CLI::App &app, ExitCode &exitCode)
{
    auto *rollout = app.add_subcommand("rollout", "Moves a service's requests to another version of its targets");
    rollout->require_subcommand(1);
    const auto flags = std::make_shared<OperatorFlags>();
    auto *start = addCommand(*rollout, "start", "Starts a rollout", flags);
    start->add_option("service", flags->service, "The service")->required();
    start->add_option("version", flags->softwareVersion, "The software version to move to")->required();
    start->add_option("--over", flags->overMs, "Time within which it should be complete, such as 60s")
        ->transform(CLI::AsNumberWithUnit(std::map<std::string, std::uint64_t>{{"ms", 1}, {"s", 1000}, {"min", 60000}}))
        ->required();
    start->add_option("--change-id", flags->changeId, "Id of the change; give the same id to resend it");
    start->callback([flags, &exitCode]() {
        exitCode = startRollout(*flags);
    });
    const auto stateFlags = std::make_shared<OperatorFlags>();
    auto *state = addCommand(*rollout, "state", "Prints the newest rollout of a service", stateFlags);
    state->add_option("service", stateFlags->service, "The service")->required();
    state->callback([stateFlags, &exitCode]() {
        exitCode =
            sendAndPrint(stateFlags->address, {"GET", "/pimentoshed/v1/rollouts/" + stateFlags->service, {}, {}});
    });
}

} // namespace

void addOperatorCommands(CLI::App &app, ExitCode &exitCode)
{
    addFileCommands(app, exitCode);
    addDomainCommand(app, "take-out", "Takes a failure domain out of service", exitCode);
    addDomainCommand(app, "return", "Returns a failure domain to service", exitCode);
    addRolloutCommands(app, exitCode);

    const auto stateFlags = std::make_shared<OperatorFlags>();
    auto *state = addCommand(app, "state", "Dumps the state of one process as JSON", stateFlags);
    state->callback([stateFlags, &exitCode]() {
        exitCode = sendAndPrint(stateFlags->address, {"GET", "/pimentoshed/v1/state", {}, {}});
    });
    const auto callerFlags = std::make_shared<OperatorFlags>();
    auto *addresses = addCommand(app, "addresses", "Prints the addresses that a caller would receive", callerFlags);
    addresses->add_option("--failure-domain", callerFlags->domain, "The caller's failure domain");
    addresses->callback([callerFlags, &exitCode]() {
        const auto target = "/pimentoshed/v1/addresses?failure_domain=" + callerFlags->domain;
        exitCode = sendAndPrint(callerFlags->address, {"GET", target, {}, {}});
    });
}

} // namespace pimentoshed::cli
