#include "rpc/commandcodec.h"

#include "pimentoshed.pb.h"
#include "replication.pb.h"
#include "rpc/codec.h"
#include "rpc/compression.h"

#include <utility>

namespace pimentoshed::rpc
{

namespace
{

struct CommandEncoder {
    LogCommand &command;

    void operator()(const changes::ApplyFile &change) const
    {
        auto *message = command.mutable_apply_file();
        message->set_change_id(change.id.str());
        message->set_packed_text(compress(change.text));
        message->set_named_by_content(change.isIdFromContent);
    }
    void operator()(const changes::SetDomainAvailability &change) const
    {
        auto *message = command.mutable_move_domain();
        message->set_change_id(change.id.str());
        message->set_domain(change.domain.str());
        message->set_out(change.out);
        message->set_replaces(change.expectedChangeCount);
    }
    void operator()(const changes::StartRollout &change) const
    {
        auto *message = command.mutable_start_rollout();
        message->set_change_id(change.id.str());
        message->set_service(change.order.service.str());
        message->set_software_version(change.order.softwareVersion);
        message->set_over_ms(core::toMilliseconds(change.order.over));
        message->set_replaces(change.replaces);
    }
    void operator()(const changes::Change &change) const
    {
        std::visit(*this, change);
    }
    void operator()(const targets::Target &target) const
    {
        encode(target, *command.mutable_withdrawal());
    }
    void operator()(const changes::MoveRollout &decision) const
    {
        auto *message = command.mutable_move_rollout();
        message->set_service(decision.service.str());
        message->set_number(decision.move.number);
        message->set_step(decision.move.step);
        message->set_kind(static_cast<std::uint32_t>(decision.move.kind));
        message->set_reason(static_cast<std::uint32_t>(decision.move.reason));
        message->set_elapsed_ms(core::toMilliseconds(decision.move.elapsed));
    }
};

core::Result<Command> decodeMove(const LogCommand &command)
{
    const auto &message = command.move_rollout();
    rollouts::Move move;
    move.number = message.number();
    move.step = message.step();
    move.kind = static_cast<rollouts::MoveKind>(message.kind());
    move.reason = static_cast<rollouts::Reason>(message.reason());
    move.elapsed = std::chrono::milliseconds(message.elapsed_ms());
    if (core::nameOf(rollouts::MoveKindNames, move.kind).empty()
        || core::nameOf(rollouts::ReasonNames, move.reason).empty()) {
        return core::Error{core::ErrorCode::MessageMalformed, "unknown move of the rollout of " + message.service()};
    }
    return Command(changes::MoveRollout{core::ServiceName(message.service()), move});
}

} // namespace

std::string encodeCommand(const Command &command)
{
    LogCommand message;
    std::visit(CommandEncoder{message}, command);
    return message.SerializeAsString();
}

core::Result<Command> decodeCommand(const std::string &bytes)
{
    LogCommand command;
    if (!command.ParseFromString(bytes)) {
        return core::Error{core::ErrorCode::MessageMalformed, "log command does not parse"};
    }
    if (command.has_apply_file()) {
        const auto &message = command.apply_file();
        auto text = decompress(message.packed_text());
        if (!core::ok(text)) {
            return core::error(text);
        }
        return Command(changes::Change(changes::ApplyFile{
            core::ChangeId(message.change_id()), std::move(core::value(text)), message.named_by_content()}));
    }
    if (command.has_move_domain()) {
        const auto &message = command.move_domain();
        return Command(changes::Change(changes::SetDomainAvailability{core::ChangeId(message.change_id()),
                                                                      core::FailureDomain(message.domain()),
                                                                      message.out(),
                                                                      message.replaces()}));
    }
    if (command.has_withdrawal()) {
        auto target = decode(command.withdrawal());
        return core::ok(target) ? core::Result<Command>(Command(core::value(target))) : core::error(target);
    }
    if (command.has_start_rollout()) {
        const auto &message = command.start_rollout();
        return Command(changes::Change(changes::StartRollout{core::ChangeId(message.change_id()),
                                                             {core::ServiceName(message.service()),
                                                              message.software_version(),
                                                              std::chrono::milliseconds(message.over_ms())},
                                                             message.replaces()}));
    }
    if (command.has_move_rollout()) {
        return decodeMove(command);
    }
    return core::Error{core::ErrorCode::MessageMalformed, "log command is empty"};
}

std::string encodeAnswer(const changes::Answer &answer)
{
    ChangeAnswer message;
    if (core::ok(answer)) {
        message.set_revision(core::value(answer).revision);
        message.set_version(core::value(answer).version);
    } else {
        message.set_error(static_cast<std::uint32_t>(core::error(answer).code));
        message.set_detail(core::error(answer).detail);
    }
    return message.SerializeAsString();
}

changes::Answer decodeAnswer(const std::string &bytes)
{
    ChangeAnswer message;
    if (!message.ParseFromString(bytes)) {
        return core::Error{core::ErrorCode::MessageMalformed, "answer to a log command does not parse"};
    }
    if (message.error() != 0) {
        return core::Error{static_cast<core::ErrorCode>(message.error()), message.detail()};
    }
    return changes::Accepted{message.revision(), message.version()};
}

} // namespace pimentoshed::rpc
