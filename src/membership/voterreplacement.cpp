#include "membership/voterreplacement.h"

#include <algorithm>

namespace pimentoshed::membership
{

std::optional<consensus::MembersChange> voterChangeFor(const consensus::MemberId &newMember,
                                                       const std::vector<VoterStatus> &voters,
                                                       std::size_t maxVoters)
{
    consensus::MembersChange change;
    change.joining = newMember;
    for (const auto &voter : voters) {
        if (voter.member == newMember) {
            return std::nullopt;
        }
        if (voter.member.host == newMember.host) {
            change.leaving = voter.member;
            return change;
        }
    }
    if (voters.size() < maxVoters) {
        return change;
    }
    const auto silent =
        std::max_element(voters.begin(), voters.end(), [](const VoterStatus &left, const VoterStatus &right) {
            return left.sinceAcknowledgement < right.sinceAcknowledgement;
        });
    if (silent == voters.end() || silent->sinceAcknowledgement < VoterReplacementDelay) {
        return std::nullopt;
    }
    change.leaving = silent->member;
    return change;
}

} // namespace pimentoshed::membership
