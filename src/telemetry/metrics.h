/**
 * @file
 * Table of the metrics that a process exposes. docs/OPERATIONS.md lists the same names; a test checks that.
 */
#pragma once

#include "core/enumtable.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace pimentoshed::telemetry
{

enum class Metric : std::uint8_t {
    Requests,
    SilentAttempts,
    StrayResponses,
    RequestsInProgress,
    RequestDuration,
    RequestAddedLatency,
    KeyRefusals,
    Hedges,
    Revision,
    RevisionAge,
    ConfigurationCurrent,
    Targets,
    EntryHosts,
    PendingFollowCalls,
    StorageWorking,
    ControlMessages,
    ControlBytes,
    QuotaDecisions,
    QuotaGranted,
    QuotaReturned,
    QuotaRefused,
    QuotaLeased,
    RolloutShare,
    RolloutResponses,
    RolloutFailures,
    ProcessCpu,
    ProcessResidentMemory,
};

/** The Prometheus type of a metric. */
enum class MetricKind : std::uint8_t {
    Counter,
    Gauge,
    Histogram,
};

/** One row of the table of metrics. */
struct MetricRow {
    Metric metric;
    MetricKind kind;
    std::string_view name;
    std::string_view help;
};

/** All metrics, in the order of the enumeration. */
inline constexpr std::array MetricTable{
    MetricRow{Metric::Requests,
              MetricKind::Counter,
              "pimentoshed_requests_total",
              "Callers' requests that ended, by service and outcome"},
    MetricRow{Metric::SilentAttempts,
              MetricKind::Counter,
              "pimentoshed_silent_attempts_total",
              "Attempts that ended without any sign of the target, by service"},
    MetricRow{Metric::StrayResponses,
              MetricKind::Counter,
              "pimentoshed_stray_responses_total",
              "Responses to other requests that attempts skipped, by service"},
    MetricRow{Metric::RequestsInProgress,
              MetricKind::Gauge,
              "pimentoshed_requests_in_progress",
              "Callers' requests in progress"},
    MetricRow{Metric::RequestDuration,
              MetricKind::Histogram,
              "pimentoshed_request_duration_seconds",
              "From a request's header to the end of its answer"},
    MetricRow{Metric::RequestAddedLatency,
              MetricKind::Histogram,
              "pimentoshed_request_added_seconds",
              "A request's duration less the wait for the target's answer"},
    MetricRow{Metric::KeyRefusals,
              MetricKind::Counter,
              "pimentoshed_key_refusals_total",
              "Callers' requests that were refused for their key, by route"},
    MetricRow{Metric::Hedges,
              MetricKind::Counter,
              "pimentoshed_hedges_total",
              "Second attempts beside a slow first one, by service and outcome"},
    MetricRow{Metric::Revision, MetricKind::Gauge, "pimentoshed_revision", "The revision in force at this host"},
    MetricRow{Metric::RevisionAge,
              MetricKind::Gauge,
              "pimentoshed_revision_age_seconds",
              "Time since the revision came into force at this host"},
    MetricRow{Metric::ConfigurationCurrent,
              MetricKind::Gauge,
              "pimentoshed_current",
              "1 where this host may act on its revision, otherwise 0"},
    MetricRow{Metric::Targets, MetricKind::Gauge, "pimentoshed_targets", "Known targets by condition"},
    MetricRow{Metric::EntryHosts, MetricKind::Gauge, "pimentoshed_entry_hosts", "Known entry hosts"},
    MetricRow{Metric::PendingFollowCalls,
              MetricKind::Gauge,
              "pimentoshed_held_follow_calls",
              "Follow calls of entry hosts that wait for news"},
    MetricRow{Metric::StorageWorking,
              MetricKind::Gauge,
              "pimentoshed_storage_working",
              "1 where the journal can be written, 0 from a failed write until it is restored"},
    MetricRow{Metric::ControlMessages,
              MetricKind::Counter,
              "pimentoshed_control_messages_total",
              "Messages of control by kind and direction"},
    MetricRow{Metric::ControlBytes,
              MetricKind::Counter,
              "pimentoshed_control_bytes_total",
              "Encoded bytes of control messages by kind and direction, without the framing of the transport"},
    MetricRow{Metric::QuotaDecisions,
              MetricKind::Counter,
              "pimentoshed_quota_decisions_total",
              "Requests of limited workspaces, by workspace and verdict"},
    MetricRow{Metric::QuotaGranted,
              MetricKind::Counter,
              "pimentoshed_quota_granted_total",
              "Requests leased to entry hosts, by workspace"},
    MetricRow{Metric::QuotaReturned,
              MetricKind::Counter,
              "pimentoshed_quota_returned_total",
              "Leased requests that entry hosts returned, by workspace"},
    MetricRow{Metric::QuotaRefused,
              MetricKind::Counter,
              "pimentoshed_quota_refused_total",
              "Requests that entry hosts asked for and did not get, by workspace"},
    MetricRow{Metric::QuotaLeased,
              MetricKind::Gauge,
              "pimentoshed_quota_leased",
              "Requests in leases that have not ended, by workspace"},
    MetricRow{Metric::RolloutShare,
              MetricKind::Gauge,
              "pimentoshed_rollout_share",
              "Share of a service's requests that goes to the new version of its newest rollout"},
    MetricRow{Metric::RolloutResponses,
              MetricKind::Gauge,
              "pimentoshed_rollout_responses",
              "Responses since the start of the newest rollout, as known to the leader, by service and version"},
    MetricRow{Metric::RolloutFailures,
              MetricKind::Gauge,
              "pimentoshed_rollout_failures",
              "Failures among these responses, by service and version"},
    MetricRow{Metric::ProcessCpu,
              MetricKind::Counter,
              "process_cpu_seconds_total",
              "Processor time of the process, user and system"},
    MetricRow{Metric::ProcessResidentMemory,
              MetricKind::Gauge,
              "process_resident_memory_bytes",
              "Resident memory of the process"},
};

constexpr const MetricRow &rowOf(Metric metric)
{
    return MetricTable.at(static_cast<std::size_t>(metric));
}

/** Kinds of messages between control hosts, entry hosts and targets that are counted. */
enum class ControlMessage : std::uint8_t {
    FollowRequest,
    FollowReply,
    ReportRequest,
    ReportReply,
    LeaseRequest,
    LeaseReply,
    Announcement,
    AnnouncementReply,
};

inline constexpr std::array ControlMessageNames{
    core::EnumName<ControlMessage>{ControlMessage::FollowRequest, "follow-request"},
    core::EnumName<ControlMessage>{ControlMessage::FollowReply, "follow-reply"},
    core::EnumName<ControlMessage>{ControlMessage::ReportRequest, "report-request"},
    core::EnumName<ControlMessage>{ControlMessage::ReportReply, "report-reply"},
    core::EnumName<ControlMessage>{ControlMessage::LeaseRequest, "lease-request"},
    core::EnumName<ControlMessage>{ControlMessage::LeaseReply, "lease-reply"},
    core::EnumName<ControlMessage>{ControlMessage::Announcement, "announcement"},
    core::EnumName<ControlMessage>{ControlMessage::AnnouncementReply, "announcement-reply"},
};

/** Direction of a control message, as seen from this process. */
enum class Direction : std::uint8_t {
    In,
    Out,
};

inline constexpr std::array DirectionNames{
    core::EnumName<Direction>{Direction::In, "in"},
    core::EnumName<Direction>{Direction::Out, "out"},
};

} // namespace pimentoshed::telemetry
