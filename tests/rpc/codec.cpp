#include "rpc/codec.h"

#include "replication.pb.h"
#include "rpc/commandcodec.h"
#include "rpc/statecodec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace pimentoshed;

namespace
{

targets::Target makeTarget(const std::string &id, const std::string &service = "loans")
{
    targets::Target target;
    target.id = core::TargetId(id);
    target.service = core::ServiceName(service);
    target.domain = core::FailureDomain("ravne");
    target.address = "10.0.0.1:80";
    target.version = {17, 4, 0, true};
    target.condition = targets::Condition::Leaving;
    return target;
}

/** The targets that a follower takes from a reply with @p targets. */
std::vector<targets::Target> sendThroughFeed(const std::vector<targets::Target> &targets)
{
    rpc::FollowReply sent;
    for (const auto &target : targets) {
        rpc::encode(target, *sent.add_targets());
    }
    rpc::FollowReply received;
    CHECK(received.ParseFromString(sent.SerializeAsString()));
    std::vector<targets::Target> decoded;
    for (const auto &message : received.targets()) {
        if (const auto target = rpc::decode(message); core::ok(target)) {
            decoded.push_back(core::value(target));
        }
    }
    return decoded;
}

std::string randomText(std::mt19937 &random)
{
    constexpr std::size_t MaxBytes = 65'536;
    constexpr unsigned MaxByte = 255;
    std::uniform_int_distribution<std::size_t> exponent(0, 16);
    std::string text(std::min(MaxBytes, std::size_t{1} << exponent(random)), '\0');
    // Mostly ASCII, so that some texts are accepted.
    const bool isAscii = random() % 2 == 0;
    std::uniform_int_distribution<unsigned> byte(isAscii ? ' ' : 0, isAscii ? '~' : MaxByte);
    std::generate(text.begin(), text.end(), [&]() {
        return static_cast<char>(byte(random));
    });
    return text;
}

} // namespace

// Guards against a name that makes its receiver drop the rest of the message.
TEST_CASE("no message between hosts and no stored record refuses a field for its bytes")
{
    for (const auto *file : {rpc::FollowReply::descriptor()->file(), rpc::JournalRecord::descriptor()->file()}) {
        for (int i = 0; i < file->message_type_count(); ++i) {
            const auto *message = file->message_type(i);
            for (int j = 0; j < message->field_count(); ++j) {
                CAPTURE(message->field(j)->full_name());
                CHECK(message->field(j)->type() != google::protobuf::FieldDescriptor::TYPE_STRING);
            }
        }
    }
}

TEST_CASE("an unreadable target costs the follower of a feed no other target")
{
    const auto first = makeTarget("i-1");
    const auto last = makeTarget("i-2");
    const auto unreadable = GENERATE(
        makeTarget("i-\xff\xfe\x80"), makeTarget("i-3", "caf\xc3"), makeTarget("i-3", std::string(30'000, 'a')));
    CHECK(sendThroughFeed({first, unreadable, last}) == std::vector{first, last});
}

TEST_CASE("whatever names a target may have come back unchanged from feed, log and snapshot")
{
    constexpr unsigned Texts = 300;
    std::mt19937 random(53);
    unsigned accepted = 0;
    for (unsigned i = 0; i < Texts; ++i) {
        auto target = makeTarget("i-1", randomText(random));
        target.softwareVersion = randomText(random).substr(0, 128);
        if (!core::ok(targets::checkNames(target))) {
            continue;
        }
        ++accepted;
        CHECK(sendThroughFeed({target}) == std::vector{target});
        const auto command = rpc::decodeCommand(rpc::encodeCommand(target));
        REQUIRE(core::ok(command));
        CHECK(core::value(command) == rpc::Command(target));
        const auto state = rpc::decodeState(rpc::encodeState({{}, {target}}));
        REQUIRE(core::ok(state));
        CHECK(core::value(state).withdrawals == std::vector{target});
    }
    CHECK(accepted > 10);
}
