#include "consensus/memberchange.h"

#include <algorithm>

namespace pimentoshed::consensus
{

namespace
{

core::Error invalid(const std::string &detail)
{
    return {core::ErrorCode::SettingInvalid, detail};
}

Members without(Members members, const MemberId &leaving)
{
    std::erase(members.voters, leaving);
    members.leaving.reset();
    return members;
}

core::Status checkJoining(const Members &members, const MembersChange &change)
{
    for (const auto &voter : members.voters) {
        const bool replaced = change.leaving == voter;
        if (voter == *change.joining) {
            return invalid("the joining host is already a member: " + voter.host.str());
        }
        if (voter.host == change.joining->host && !replaced) {
            return invalid("this host is still a member with another data folder: " + voter.host.str());
        }
    }
    return {};
}

core::Status checkLeaving(const Members &members, const MembersChange &change)
{
    if (!members.isVoter(*change.leaving)) {
        return invalid("the leaving host is not a voter: " + change.leaving->host.str());
    }
    if (members.voters.size() == 1 && !change.joining) {
        return invalid("the last voter can't be removed");
    }
    return {};
}

core::Status check(const Members &members, const MembersChange &change)
{
    if (!change.joining && !change.leaving && !change.abandonRunning) {
        return invalid("the change names neither a joining nor a leaving member");
    }
    if (!members.isSettled() && !change.abandonRunning) {
        return core::Error{core::ErrorCode::ChangeNotCommitted, "another change of members is running"};
    }
    if (change.joining) {
        if (auto status = checkJoining(members, change); !core::ok(status)) {
            return status;
        }
    }
    return change.leaving ? checkLeaving(members, change) : core::Status();
}

} // namespace

core::Result<Members> firstStep(const Members &members, const MembersChange &change)
{
    if (auto status = check(members, change); !core::ok(status)) {
        return core::error(status);
    }
    Members first{members.voters, change.joining, change.leaving};
    if (!change.joining && change.leaving) {
        return without(first, *change.leaving);
    }
    return first;
}

std::optional<Members> nextStep(const Members &members, const MembersChangeStatus &status)
{
    if (members.isSettled() || !status.isJoiningCaughtUp) {
        return std::nullopt;
    }
    if (members.learner()) {
        if (members.leaving && !status.isLeavingReachable && members.voters.size() > 1) {
            return without(members, *members.leaving);
        }
        auto step = members;
        step.voters.push_back(*members.joining);
        return step;
    }
    auto step = members.leaving ? without(members, *members.leaving) : members;
    step.joining.reset();
    return step;
}

} // namespace pimentoshed::consensus
