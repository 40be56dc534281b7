#include "core/error.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace pimentoshed::core
{

namespace
{

constexpr std::array Errors{
    ErrorRow{ErrorCode::SettingInvalid, "setting-invalid", "a flag or environment variable has an unusable value"},
    ErrorRow{ErrorCode::FileUnreadable, "file-unreadable", "a named file can't be opened or read"},
    ErrorRow{ErrorCode::ListenFailed, "listen-failed", "an address can't be bound"},
    ErrorRow{ErrorCode::ConfigSyntax, "config-syntax", "the operator's file is not valid TOML"},
    ErrorRow{ErrorCode::ConfigUnknownKey, "config-unknown-key", "the operator's file has an unknown key"},
    ErrorRow{ErrorCode::ConfigMissingKey, "config-missing-key", "the operator's file lacks a required key"},
    ErrorRow{ErrorCode::ConfigWrongType, "config-wrong-type", "a value does not have the type that its key requires"},
    ErrorRow{ErrorCode::ConfigOutOfBounds, "config-out-of-bounds", "a value lies outside its key's bounds"},
    ErrorRow{
        ErrorCode::ConfigUnknownName, "config-unknown-name", "a value refers to a name that the file does not define"},
    ErrorRow{ErrorCode::ConfigDuplicate, "config-duplicate", "two entries that must differ are the same"},
    ErrorRow{ErrorCode::VersionConflict, "version-conflict", "another change already replaced the named version"},
    ErrorRow{ErrorCode::UnknownDomain, "unknown-domain", "no such failure domain is configured"},
    ErrorRow{ErrorCode::ChangeSuperseded,
             "change-superseded",
             "the failure domain or rollout has changed since the state that this change replaces; it was not applied"},
    ErrorRow{ErrorCode::ChangeNotCommitted, "change-not-committed", "whether the change will be accepted is unknown"},
    ErrorRow{ErrorCode::NoQuorum, "no-quorum", "the control hosts have no quorum; the change was not accepted"},
    ErrorRow{ErrorCode::NotLeader, "not-leader", "this control host is not the leader"},
    ErrorRow{ErrorCode::ChangeIdReused, "change-id-reused", "a different change with the same id was sent before"},
    ErrorRow{ErrorCode::RolloutRunning, "rollout-running", "another rollout of the service is in progress"},
    ErrorRow{ErrorCode::OrderStale,
             "order-stale",
             "the order may have waited until its sender gave it up; it was not applied"},
    ErrorRow{ErrorCode::NoSuchService, "no-such-service", "no configured service matches the request"},
    ErrorRow{ErrorCode::NoTarget, "no-target", "no target can take the request now"},
    ErrorRow{ErrorCode::NotCurrent, "not-current", "this entry host can't confirm that its configuration is current"},
    ErrorRow{ErrorCode::DeadlinePassed, "deadline-passed", "the request's deadline passed"},
    ErrorRow{ErrorCode::QueueFull, "queue-full", "the queue for the service is full"},
    ErrorRow{ErrorCode::TargetFailed, "target-failed", "the target failed while it processed the request"},
    ErrorRow{ErrorCode::RequestMalformed,
             "request-malformed",
             "the request is not valid HTTP, or its path or headers are not valid"},
    ErrorRow{ErrorCode::RequestTooLarge, "request-too-large", "the request is larger than its service accepts"},
    ErrorRow{ErrorCode::RequestKeyMissing, "request-key-missing", "a non-idempotent request carries no request key"},
    ErrorRow{ErrorCode::RequestKeyUsed, "request-key-used", "a request with this key was already sent to a target"},
    ErrorRow{ErrorCode::Stopping, "stopping", "this host is stopping"},
    ErrorRow{ErrorCode::AnswerTruncated, "answer-truncated", "the target's answer ended early"},
    ErrorRow{ErrorCode::ClaimFailed, "claim-failed", "the request key could not be claimed in time"},
    ErrorRow{ErrorCode::CallerTooSlow, "caller-too-slow", "the caller sent or read too slowly"},
    ErrorRow{ErrorCode::KeyUnknown, "key-unknown", "the request carries no key of a workspace"},
    ErrorRow{ErrorCode::OverQuota, "over-quota", "the request is over the quota of its workspace"},
    ErrorRow{
        ErrorCode::QuotaUnknown, "quota-unknown", "no control host can say whether the request is within its quota"},
    ErrorRow{ErrorCode::AnnouncementMalformed, "announcement-malformed", "a target's announcement can't be decoded"},
    ErrorRow{
        ErrorCode::AnnouncementStale, "announcement-stale", "a newer announcement of this target was already received"},
    ErrorRow{ErrorCode::JournalDamaged, "journal-damaged", "the journal is damaged before its tail"},
    ErrorRow{ErrorCode::JournalWriteFailed, "journal-write-failed", "the journal could not be written or synced"},
    ErrorRow{ErrorCode::SnapshotDamaged, "snapshot-damaged", "the snapshot is damaged"},
    ErrorRow{ErrorCode::DataFolderForeign, "data-folder-foreign", "the data folder belongs to another host"},
    ErrorRow{ErrorCode::TraceMalformed, "trace-malformed", "the trace can't be decoded"},
    ErrorRow{ErrorCode::PeerUnreachable, "peer-unreachable", "another host does not respond"},
    ErrorRow{ErrorCode::MessageMalformed, "message-malformed", "a message between hosts can't be decoded"},
};

} // namespace

std::span<const ErrorRow> errorTable()
{
    return Errors;
}

std::string_view errorName(ErrorCode code)
{
    const auto row = std::find_if(Errors.begin(), Errors.end(), [code](const ErrorRow &candidate) {
        return candidate.code == code;
    });
    return row == Errors.end() ? std::string_view{} : row->name;
}

std::string describe(const Error &error)
{
    const auto number = static_cast<unsigned>(error.code);
    if (error.detail.empty()) {
        return fmt::format("E{} {}", number, errorName(error.code));
    }
    return fmt::format("E{} {}: {}", number, errorName(error.code), error.detail);
}

} // namespace pimentoshed::core
