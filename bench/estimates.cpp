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
using OptionalValue = std::optional<double>;

/** One line of a role's table. Pairs are for today's and the expected size; a value is empty if it was not measured. */
struct Line {
    std::string_view subject;
    std::string_view mechanism;
    std::array<OptionalValue, 2> entries{};
    OptionalValue entryBytes{};
    std::array<OptionalValue, 2> messages{};
    OptionalValue messageBytes{};
    OptionalValue messageCpu{};
};

std::string toText(const OptionalValue &value)
{
    return value ? shortNumber(*value) : std::string(Unmeasured);
}

/** Shows a value at both sizes. The users' documents give no rates of calls or changes for today's size. */
std::string toText(const std::array<OptionalValue, 2> &values)
{
    const auto today = values[0] ? shortNumber(*values[0]) : "not given";
    return values[1] ? fmt::format("{} / {}", today, shortNumber(*values[1])) : "none";
}

std::string formatLine(const Line &line)
{
    const bool holds = line.entries[1].has_value();
    const bool sends = line.messages[1].has_value();
    if (!holds && !sends) {
        return fmt::format(
            "| {0} | {1} | {1} | {1} | {1} | {1} | {1} | {2} |\n", line.subject, Unmeasured, line.mechanism);
    }
    std::string memory = holds ? std::string(Unmeasured) : "none";
    if (holds && line.entryBytes) {
        memory = fmt::format("{} / {}",
                             shortNumber(*line.entries[0] * *line.entryBytes),
                             shortNumber(*line.entries[1] * *line.entryBytes));
    }
    return fmt::format("| {} | {} | {} | {} | {} | {} | {} | `{}` |\n",
                       line.subject,
                       toText(line.entries),
                       holds ? toText(line.entryBytes) : "none",
                       memory,
                       toText(line.messages),
                       sends ? toText(line.messageBytes) : "none",
                       sends ? toText(line.messageCpu) : "none",
                       line.mechanism);
}

std::string formatRole(std::string_view role, const std::vector<Line> &lines)
{
    auto table = fmt::format("### {}\n\n| state or message | entries | B each | B in all | messages/s, in and out | "
                             "B each | us of CPU each | mechanism |\n"
                             "| --- | --- | --- | --- | --- | --- | --- | --- |\n",
                             role);
    for (const auto &line : lines) {
        table += formatLine(line);
    }
    return table + "\n";
}

std::array<OptionalValue, 2> each(const std::array<Size, 2> &sizes, double (*value)(const Size &))
{
    return {value(sizes[0]), value(sizes[1])};
}

/** Like each(), for rates that are not known for today's size. */
std::array<OptionalValue, 2> eachRate(const std::array<Size, 2> &sizes, double (*value)(const Size &))
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
    const auto followCpu = slope(Measure::ControlCpuByHosts) * LongPollSeconds / 2;
    return {{"targets in the feed",
             "src/membership/membershipfeed.cpp",
             each(sizes, targets),
             slope(Measure::FeedTargetHeap)},
            {"entry hosts", "src/membership/membershipfeed.cpp", each(sizes, entryHosts), slope(Measure::FeedHostHeap)},
            {"services of the configuration",
             "src/changes/ledger.cpp",
             each(sizes, services),
             slope(Measure::ConfigurationHeap)},
            {"pending follow calls at rest",
             "src/control/followrpchandler.cpp",
             each(sizes, entryHosts),
             std::nullopt,
             each(sizes, followMessages),
             slope(Measure::ControlBytesByHosts) * LongPollSeconds / 2,
             followCpu},
            {"reports of target changes",
             "src/control/controlhost.cpp",
             {},
             {},
             eachRate(sizes, reportMessages),
             slope(Measure::AllTargetsBytes),
             slope(Measure::FeedAnswerCpu) * targets(sizes[1]) + results.fitOf(Measure::FeedAnswerCpu).intercept},
            {"follow replies with one changed target",
             "src/control/followrpchandler.cpp",
             {},
             {},
             eachRate(sizes, targetChangeMessages),
             slope(Measure::AllTargetsBytes),
             results.fitOf(Measure::FeedAnswerCpu).at(sizes[1].targets)},
            {"configuration change, sent whole to every entry host",
             "src/control/followrpchandler.cpp",
             {},
             {},
             eachRate(sizes, configurationMessages),
             results.fitOf(Measure::ConfigurationBytes).at(sizes[1].services),
             std::nullopt},
            {"replicated log, elections, claims", "not covered by this benchmark"}};
}

std::vector<Line> entryLines(const Results &results, const std::array<Size, 2> &sizes)
{
    const auto slope = [&results](Measure measure) {
        return results.fitOf(measure).slope;
    };
    const auto perRenewal = [&slope](Measure measure) {
        return slope(measure) * MeasuredEntryHosts * MeasuredRenewalSeconds / 2;
    };
    return {{"targets", "src/targets/targettable.cpp", each(sizes, targets), slope(Measure::TargetTableHeap)},
            {"services of the configuration",
             "src/entry/clusterview.cpp",
             each(sizes, services),
             slope(Measure::ConfigurationHeap)},
            {"entry hosts", "src/entry/clusterview.cpp", each(sizes, entryHosts), slope(Measure::FeedHostHeap)},
            {"idle connections to targets", "src/http/connectionpool.cpp", each(sizes, targets), std::nullopt},
            {"follow calls at rest, with timers",
             "src/entry/controlfeedclient.cpp",
             {},
             {},
             each(sizes, followMessagesPerEntryHost),
             slope(Measure::ControlBytesByHosts) * LongPollSeconds / 2,
             entryIdleCpu(results) * LongPollSeconds / 2},
            {"lease renewals of targets",
             "src/entry/targethttphandler.cpp",
             {},
             {},
             each(sizes, renewalMessages),
             perRenewal(Measure::EntryBytesByTargets),
             perRenewal(Measure::EntryCpuByTargets)},
            {"configuration change, received whole",
             "src/entry/controlfeedclient.cpp",
             {},
             {},
             eachRate(sizes, configurationMessagesPerEntryHost),
             results.fitOf(Measure::ConfigurationBytes).at(sizes[1].services),
             results.fitOf(Measure::ConfigurationDecodeCpu).at(sizes[1].services)},
            {"callers' requests (not control traffic)",
             "src/entry/callerhttphandler.cpp",
             {},
             {},
             {std::nullopt, sizes[1].callsPerSecond / sizes[1].entryHosts},
             std::nullopt,
             slope(Measure::EntryCpuByRate)}};
}

std::string fitText(double value, double limit)
{
    return value <= limit ? "fits" : "**does not fit yet**";
}

std::string limitLine(std::string_view subject,
                      const std::array<double, 2> &values,
                      double limit,
                      std::string_view unit,
                      std::string_view remedy)
{
    return fmt::format("| {} | {} {} | {} {} | {} {} | {} | {} |\n",
                       subject,
                       shortNumber(values[0]),
                       unit,
                       shortNumber(values[1]),
                       unit,
                       shortNumber(limit),
                       unit,
                       fitText(values[1], limit),
                       values[1] <= limit ? "" : remedy);
}

std::string failureLine(std::string_view subject, double messages, double bytes, std::string_view consequence)
{
    return fmt::format("| {} | {} | {} | {} |\n", subject, shortNumber(messages), shortNumber(bytes), consequence);
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
    text +=
        fmt::format("With {} us of an entry host's processor time per call, and {} cores of each entry host used for "
                    "calls (an assumption), 1.2 million calls a second need {} entry hosts. Each call of a chain "
                    "counts once.\n\n",
                    shortNumber(results.fitOf(Measure::EntryCpuByRate).slope),
                    CoresUsedPerEntryHost,
                    sizes[1].entryHosts);
    return text + formatRole("Control host", controlLines(results, sizes))
           + formatRole("Entry host", entryLines(results, sizes));
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
               + results.fitOf(Measure::InForceByServices).slope * (size.services - MeasuredServices);
    };
    std::string text = "| quantity | today | expected size | limit | | possible remedy |\n"
                       "| --- | --- | --- | --- | --- | --- |\n";
    text += limitLine("control host, processor time",
                      both(controlCpu),
                      CpuLimit,
                      "us/s",
                      "spread follow calls over the control hosts, use longer polls");
    text +=
        limitLine("control host, memory", both(controlMemory), MemoryLimit, "B", "see the slope by number of targets");
    text += limitLine(
        "control host, bytes in and out",
        both(controlBytes),
        BytesLimit,
        "B/s",
        "spread follow calls over 7 control hosts, longer polls, deltas per service, gzip of the configuration");
    text += limitLine("entry host, processor time for control traffic",
                      both(entryCpu),
                      CpuLimit,
                      "us/s",
                      "longer leases, persistent connections for renewals");
    text += limitLine("entry host, memory",
                      both(entryMemory),
                      MemoryLimit,
                      "B",
                      "follow only the services that this host's callers request");
    text += limitLine("entry host, bytes in and out for control traffic",
                      both(entryBytes),
                      BytesLimit,
                      "B/s",
                      "renew each lease less often, follow by service, deltas per service");
    text += limitLine("control hosts", {1, 1}, ControlHostLimit, "", "");
    text += limitLine("added latency, 99th percentile, one hop",
                      {worst, worst},
                      AddedLimitMillis,
                      "ms",
                      "measure again on a quiet machine; see the histogram of each entry host");
    text += limitLine("configuration change in force at all entry hosts, without loss",
                      {inForce(sizes[0]), inForce(sizes[1])},
                      InForceLimitMillis,
                      "ms",
                      "deltas per service");
    return text;
}

std::string remedyTable(const Results &results)
{
    const auto size = bothSizes(results)[1];
    const auto delta = results.fitOf(Measure::ConfigurationBytes).slope;
    const auto share = size.entryHosts / ControlHostLimit;
    auto shared = size;
    shared.entryHosts = share;
    const auto remedy = [](std::string_view subject, double value, double limit, std::string_view unit) {
        return fmt::format("| {} | {} {} | {} {} | {} | not done |\n",
                           subject,
                           shortNumber(value),
                           unit,
                           shortNumber(limit),
                           unit,
                           value <= limit ? "would fit" : "would not fit alone");
    };
    std::string text = "| remedy (computed) | result | limit | | |\n| --- | --- | --- | --- | --- |\n";
    text += remedy(
        "control host, processor time: a seventh of the follow calls", controlCpu(results, shared), CpuLimit, "us/s");
    text += remedy("control host, bytes: a seventh of the follow calls, whole configurations",
                   controlBytes(results, shared),
                   BytesLimit,
                   "B/s");
    text += remedy("control host, bytes: one service per change, all follow calls at one host",
                   controlBytesAt(results, size, delta),
                   BytesLimit,
                   "B/s");
    text += remedy("control host, bytes: a seventh of the follow calls, one service per change",
                   controlBytesAt(results, shared, delta),
                   BytesLimit,
                   "B/s");
    text +=
        remedy("entry host, bytes: one service per change", entryBytesAt(results, size, delta, 1), BytesLimit, "B/s");
    text += remedy("entry host, bytes: renewals every 2 s, whole configurations",
                   entryBytesAt(results, size, results.fitOf(Measure::ConfigurationBytes).at(size.services), 2),
                   BytesLimit,
                   "B/s");
    text += remedy("entry host, bytes: renewals every 2 s, one service per change",
                   entryBytesAt(results, size, delta, 2),
                   BytesLimit,
                   "B/s");
    return text;
}

std::string chainTable(const Results &results)
{
    constexpr std::array Depths{1.0, 7.0, 14.0, 21.0};
    std::string text =
        "| calls deep | sum of added medians, ms | added 99th percentile, at most, ms |\n| --- | --- | --- |\n";
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
    const auto targetBytes = results.fitOf(Measure::AllTargetsBytes).slope;
    const auto messagesPerChange = size.entryHosts + 2;
    const auto messagesFor = [&](double changes) {
        return changes * messagesPerChange;
    };
    const auto callsPerTarget = size.callsPerSecond / size.targets;
    std::string text = "| event | control messages | B | refused or failed requests; time without service |\n"
                       "| --- | --- | --- | --- |\n";
    const auto line = [&](std::string_view subject, double changes, const std::string &consequence) {
        text += failureLine(subject, messagesFor(changes), messagesFor(changes) * targetBytes, consequence);
    };
    line("730 restarts a day, 4 announcements each", 4 * size.restartsPerDay, "planned: none by design; not measured");
    line("9 hosts with targets fail per day",
         9,
         fmt::format(
             "each up to {} failed connection attempts (lease of {} s, {} calls/s per target, no retry); not measured",
             shortNumber(callsPerTarget * LeaseSeconds),
             LeaseSeconds,
             shortNumber(callsPerTarget)));
    line(fmt::format("a rack of {} targets fails, once a week", RackTargets),
         RackTargets,
         fmt::format("up to {}, as above; not measured", shortNumber(RackTargets * callsPerTarget * LeaseSeconds)));
    line("one of 9 failure domains fails with its targets",
         size.targets / 9,
         fmt::format("up to {}, as above, unless it is taken out of service first; not measured",
                     shortNumber(size.targets / 9 * callsPerTarget * LeaseSeconds)));
    const auto cutHosts = size.entryHosts / 4;
    const auto returned = results.fitOf(Measure::ConfigurationBytes).at(size.services) + size.targets / 4 * targetBytes;
    text +=
        failureLine("one of 4 regions is cut off for an hour, then returns",
                    cutHosts * 3600 / FollowRetrySeconds + cutHosts,
                    cutHosts * returned,
                    fmt::format("requests refused as not run, from {} s on until the region returns: {}; not measured",
                                PermissionSeconds,
                                shortNumber(size.callsPerSecond / 4 * (3600 - PermissionSeconds))));
    return text;
}

} // namespace pimentoshed::bench
