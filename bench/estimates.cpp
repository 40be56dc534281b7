#include "estimates.h"

#include "quantities.h"
#include "report.h"

#include <fmt/format.h>
#include <optional>

namespace pimentoshed::bench
{

namespace
{

constexpr double MicrosPerMilli = 1e3;
constexpr std::string_view Unmeasured = "not measured";
using Value = std::optional<double>;

/** One line of a role's table, at both sizes. Nothing where no slope was measured. */
struct Line {
    std::string_view what;
    std::string_view mechanism;
    std::array<Value, 2> entries{};
    Value entryBytes{};
    std::array<Value, 2> messages{};
    Value messageBytes{};
    Value messageCpu{};
};

std::string show(const Value &value)
{
    return value ? shortNumber(*value) : std::string(Unmeasured);
}

/** The users' pages give no rate of calls or changes for today. */
std::string show(const std::array<Value, 2> &values)
{
    const auto today = values[0] ? shortNumber(*values[0]) : "not given";
    return values[1] ? fmt::format("{} / {}", today, shortNumber(*values[1])) : "none";
}

std::string showLine(const Line &line)
{
    const bool holds = line.entries[1].has_value();
    const bool sends = line.messages[1].has_value();
    if (!holds && !sends) {
        return fmt::format(
            "| {0} | {1} | {1} | {1} | {1} | {1} | {1} | {2} |\n", line.what, Unmeasured, line.mechanism);
    }
    std::string memory = holds ? std::string(Unmeasured) : "none";
    if (holds && line.entryBytes) {
        memory = fmt::format("{} / {}",
                             shortNumber(*line.entries[0] * *line.entryBytes),
                             shortNumber(*line.entries[1] * *line.entryBytes));
    }
    return fmt::format("| {} | {} | {} | {} | {} | {} | {} | `{}` |\n",
                       line.what,
                       show(line.entries),
                       holds ? show(line.entryBytes) : "none",
                       memory,
                       show(line.messages),
                       sends ? show(line.messageBytes) : "none",
                       sends ? show(line.messageCpu) : "none",
                       line.mechanism);
}

std::string showRole(std::string_view role, const std::vector<Line> &lines)
{
    auto table = fmt::format("### {}\n\n| state or message | entries | B each | B in all | messages/s, in and out | "
                             "B each | us of processor each | mechanism |\n"
                             "| --- | --- | --- | --- | --- | --- | --- | --- |\n",
                             role);
    for (const auto &line : lines) {
        table += showLine(line);
    }
    return table + "\n";
}

std::array<Value, 2> each(const std::array<Size, 2> &sizes, double (*value)(const Size &))
{
    return {value(sizes[0]), value(sizes[1])};
}

/** As each, for what today's size gives no rate of. */
std::array<Value, 2> rate(const std::array<Size, 2> &sizes, double (*value)(const Size &))
{
    return {std::nullopt, value(sizes[1])};
}

double entryHosts(const Size &size)
{
    return size.entryHosts;
}

double targets(const Size &size)
{
    return size.targets;
}

double services(const Size &size)
{
    return size.services;
}

std::vector<Line> controlLines(const Results &results, const std::array<Size, 2> &sizes)
{
    const auto slope = [&results](Measure measure) {
        return results.fitOf(measure).slope;
    };
    const auto followCpu = slope(Measure::ControlCpuByHosts) * HoldSeconds / 2;
    return {{"targets in the feed",
             "src/membership/membershipfeed.cpp",
             each(sizes, targets),
             slope(Measure::HubTargetHeap)},
            {"entry hosts", "src/membership/membershipfeed.cpp", each(sizes, entryHosts), slope(Measure::HubHostHeap)},
            {"services of the standing",
             "src/changes/ledger.cpp",
             each(sizes, services),
             slope(Measure::ConfigurationHeap)},
            {"held follow calls at rest",
             "src/control/followrpchandler.cpp",
             each(sizes, entryHosts),
             std::nullopt,
             each(sizes, followMessages),
             slope(Measure::ControlBytesByHosts) * HoldSeconds / 2,
             followCpu},
            {"reports of targets' changes",
             "src/control/controlhost.cpp",
             {},
             {},
             rate(sizes, reportMessages),
             slope(Measure::FullFeedBytes),
             slope(Measure::FeedAnswerCpu) * targets(sizes[1]) + results.fitOf(Measure::FeedAnswerCpu).intercept},
            {"feed answers with a target's change",
             "src/control/followrpchandler.cpp",
             {},
             {},
             rate(sizes, newsMessages),
             slope(Measure::FullFeedBytes),
             results.fitOf(Measure::FeedAnswerCpu).at(sizes[1].targets)},
            {"a change of configuration, whole, to every entry host",
             "src/control/followrpchandler.cpp",
             {},
             {},
             rate(sizes, standingMessages),
             results.fitOf(Measure::StandingBytes).at(sizes[1].services),
             std::nullopt},
            {"replicated log, elections, claims", "not in this branch"}};
}

std::vector<Line> entryLines(const Results &results, const std::array<Size, 2> &sizes)
{
    const auto slope = [&results](Measure measure) {
        return results.fitOf(measure).slope;
    };
    const auto perRenewal = [&slope](Measure measure) {
        return slope(measure) * TrialEntryHosts * TrialRenewalSeconds / 2;
    };
    return {{"targets", "src/targets/targettable.cpp", each(sizes, targets), slope(Measure::TargetTableHeap)},
            {"services of the standing",
             "src/entry/clusterview.cpp",
             each(sizes, services),
             slope(Measure::ConfigurationHeap)},
            {"entry hosts", "src/entry/clusterview.cpp", each(sizes, entryHosts), slope(Measure::HubHostHeap)},
            {"kept connections to targets", "src/http/connectionpool.cpp", each(sizes, targets), std::nullopt},
            {"follow calls at rest, with timers",
             "src/entry/controlfeedclient.cpp",
             {},
             {},
             each(sizes, followMessagesOfOne),
             slope(Measure::ControlBytesByHosts) * HoldSeconds / 2,
             entryRestCpu(results) * HoldSeconds / 2},
            {"renewals of targets",
             "src/entry/targethttphandler.cpp",
             {},
             {},
             each(sizes, renewalMessages),
             perRenewal(Measure::EntryBytesByTargets),
             perRenewal(Measure::EntryCpuByTargets)},
            {"a change of configuration, whole",
             "src/entry/controlfeedclient.cpp",
             {},
             {},
             rate(sizes, standingMessagesOfOne),
             results.fitOf(Measure::StandingBytes).at(sizes[1].services),
             results.fitOf(Measure::StandingDecodeCpu).at(sizes[1].services)},
            {"requests (not control)",
             "src/entry/callerhttphandler.cpp",
             {},
             {},
             {std::nullopt, sizes[1].callsPerSecond / sizes[1].entryHosts},
             std::nullopt,
             slope(Measure::EntryCpuByRate)}};
}

std::string yesNo(double value, double limit)
{
    return value <= limit ? "fits" : "**does not fit yet**";
}

std::string limitLine(std::string_view what,
                      const std::array<double, 2> &values,
                      double limit,
                      std::string_view unit,
                      std::string_view remedy)
{
    return fmt::format("| {} | {} {} | {} {} | {} {} | {} | {} |\n",
                       what,
                       shortNumber(values[0]),
                       unit,
                       shortNumber(values[1]),
                       unit,
                       shortNumber(limit),
                       unit,
                       yesNo(values[1], limit),
                       values[1] <= limit ? "" : remedy);
}

std::string failureLine(std::string_view what, double messages, double bytes, std::string_view rest)
{
    return fmt::format("| {} | {} | {} | {} |\n", what, shortNumber(messages), shortNumber(bytes), rest);
}

} // namespace

std::string roleTables(const Results &results)
{
    const auto sizes = bothSizes(results);
    auto text =
        fmt::format("Each pair is today ({} entry hosts, {} targets, {} services) / the expected size ({} entry "
                    "hosts, {} targets, {} services). Bytes and processor time of a message are those at the "
                    "expected size.\n\n",
                    sizes[0].entryHosts,
                    sizes[0].targets,
                    sizes[0].services,
                    sizes[1].entryHosts,
                    sizes[1].targets,
                    sizes[1].services);
    text += fmt::format("{} us of an entry host's processor time a call, and {} cores of each spent on calls (an "
                        "assumption), make {} entry hosts for 1.2 million calls a second, each call of a chain counted "
                        "once.\n\n",
                        shortNumber(results.fitOf(Measure::EntryCpuByRate).slope),
                        CoresUsedPerEntryHost,
                        sizes[1].entryHosts);
    return text + showRole("Control host", controlLines(results, sizes))
           + showRole("Entry host", entryLines(results, sizes));
}

std::string limitTable(const Results &results)
{
    const auto sizes = bothSizes(results);
    const auto both = [&](double (*value)(const Results &, const Size &)) {
        return std::array<double, 2>{value(results, sizes[0]), value(results, sizes[1])};
    };
    const auto tail = results.fitOf(Measure::AddedTailByRate);
    const auto worst = std::max(tail.at(0), tail.at(HopRate)) / MicrosPerMilli;
    const auto inForce = [&](const Size &size) {
        return results.fitOf(Measure::InForceByHosts).at(size.entryHosts)
               + results.fitOf(Measure::InForceByServices).slope * (size.services - TrialServices);
    };
    std::string text = "| line | today | expected size | limit | | what would fit |\n"
                       "| --- | --- | --- | --- | --- | --- |\n";
    text += limitLine("control host, processor",
                      both(controlCpu),
                      CpuLimit,
                      "us/s",
                      "spread held calls over the control hosts, hold calls longer");
    text += limitLine("control host, memory", both(controlMemory), MemoryLimit, "B", "see the slope by targets");
    text += limitLine("control host, bytes in and out",
                      both(controlBytes),
                      BytesLimit,
                      "B/s",
                      "spread held calls over 7 control hosts, longer holds, deltas per service, gzip of the standing");
    text += limitLine("entry host, processor for control",
                      both(entryCpu),
                      CpuLimit,
                      "us/s",
                      "longer leases, kept connections for renewals");
    text += limitLine("entry host, memory",
                      both(entryMemory),
                      MemoryLimit,
                      "B",
                      "follow only the services that callers ask for here");
    text += limitLine("entry host, bytes in and out for control",
                      both(entryBytes),
                      BytesLimit,
                      "B/s",
                      "renew each lease less often, follow by service, deltas per service");
    text += limitLine("control hosts", {1, 1}, ControlHostLimit, "", "");
    text += limitLine("added for 99 in 100, one hop",
                      {worst, worst},
                      AddedLimitMillis,
                      "ms",
                      "measure again on a quiet machine; see the histogram of each entry host");
    text += limitLine("in force everywhere, without loss",
                      {inForce(sizes[0]), inForce(sizes[1])},
                      InForceLimitMillis,
                      "ms",
                      "deltas per service");
    return text;
}

std::string remedyTable(const Results &results)
{
    const auto size = bothSizes(results)[1];
    const auto delta = results.fitOf(Measure::StandingBytes).slope;
    const auto share = size.entryHosts / ControlHostLimit;
    auto shared = size;
    shared.entryHosts = share;
    const auto remedy = [](std::string_view what, double value, double limit, std::string_view unit) {
        return fmt::format("| {} | {} {} | {} {} | {} | not done |\n",
                           what,
                           shortNumber(value),
                           unit,
                           shortNumber(limit),
                           unit,
                           value <= limit ? "would fit" : "would not fit alone");
    };
    std::string text = "| remedy, worked out | leads to | limit | | |\n| --- | --- | --- | --- | --- |\n";
    text +=
        remedy("control host, processor: its seventh of the held calls", controlCpu(results, shared), CpuLimit, "us/s");
    text +=
        remedy("control host, bytes: its seventh, whole standings", controlBytes(results, shared), BytesLimit, "B/s");
    text += remedy("control host, bytes: one service a change, one host answers all",
                   controlBytesAt(results, size, delta),
                   BytesLimit,
                   "B/s");
    text += remedy("control host, bytes: its seventh, one service a change",
                   controlBytesAt(results, shared, delta),
                   BytesLimit,
                   "B/s");
    text += remedy("entry host, bytes: one service a change", entryBytesAt(results, size, delta, 1), BytesLimit, "B/s");
    text += remedy("entry host, bytes: renewals each 2 s, whole standings",
                   entryBytesAt(results, size, results.fitOf(Measure::StandingBytes).at(size.services), 2),
                   BytesLimit,
                   "B/s");
    text += remedy("entry host, bytes: renewals each 2 s, one service a change",
                   entryBytesAt(results, size, delta, 2),
                   BytesLimit,
                   "B/s");
    return text;
}

std::string chainTable(const Results &results)
{
    constexpr std::array Depths{1.0, 7.0, 14.0, 21.0};
    std::string text = "| calls deep | medians added, ms | 99th percentile, at most, ms |\n| --- | --- | --- |\n";
    const auto median = results.fitOf(Measure::AddedMedianByRate).at(HopRate) / MicrosPerMilli;
    const auto tail = results.fitOf(Measure::AddedTailByRate).at(HopRate) / MicrosPerMilli;
    for (const auto depth : Depths) {
        text += fmt::format("| {} | {} | {} |\n", depth, shortNumber(depth * median), shortNumber(depth * tail));
    }
    return text;
}

std::string failureTable(const Results &results)
{
    const auto size = bothSizes(results)[1];
    const auto wordBytes = results.fitOf(Measure::FullFeedBytes).slope;
    const auto toAll = size.entryHosts + 2;
    const auto perWord = [&](double words) {
        return words * toAll;
    };
    const auto callsPerTarget = size.callsPerSecond / size.targets;
    std::string text = "| event | messages of control | B | refused or failed requests; time without service |\n"
                       "| --- | --- | --- | --- |\n";
    const auto line = [&](std::string_view what, double words, const std::string &rest) {
        text += failureLine(what, perWord(words), perWord(words) * wordBytes, rest);
    };
    line("730 restarts a day, 4 words each", 4 * size.restartsPerDay, "planned: none by mechanism; not measured");
    line("9 hosts of targets fail, a day",
         9,
         fmt::format("each up to {} failed connects (a lease of {} s, {} calls/s a target, no retry); not measured",
                     shortNumber(callsPerTarget * LeaseSeconds),
                     LeaseSeconds,
                     shortNumber(callsPerTarget)));
    line(fmt::format("a rack of {} targets, a week", RackTargets),
         RackTargets,
         fmt::format("up to {}, as above; not measured", shortNumber(RackTargets * callsPerTarget * LeaseSeconds)));
    line("a failure domain of 9, its targets",
         size.targets / 9,
         fmt::format("up to {}, as above, unless it is taken out first; not measured",
                     shortNumber(size.targets / 9 * callsPerTarget * LeaseSeconds)));
    const auto cutHosts = size.entryHosts / 4;
    const auto returned = results.fitOf(Measure::StandingBytes).at(size.services) + size.targets / 4 * wordBytes;
    text += failureLine("one region of 4 cut off for an hour, then back",
                        cutHosts * 3600 / RetrySeconds + cutHosts,
                        cutHosts * returned,
                        fmt::format("refused as not run, from {} s on, until it is back: {}; not measured",
                                    PermissionSeconds,
                                    shortNumber(size.callsPerSecond / 4 * (3600 - PermissionSeconds))));
    return text;
}

} // namespace pimentoshed::bench
