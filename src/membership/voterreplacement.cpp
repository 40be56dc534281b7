#include "membership/voterreplacement.h"

#include <algorithm>

namespace pimentoshed::membership
{

std::optional<consensus::MembersChange> voterChangeFor(const consensus::MemberId &newcomer,
                                                       const std::vector<VoterStatus> &seats,
                                                       std::size_t most)
{
    consensus::MembersChange change;
    change.joining = newcomer;
    for (const auto &seat : seats) {
        if (seat.member == newcomer) {
            return std::nullopt;
        }
        if (seat.member.host == newcomer.host) {
            change.leaving = seat.member;
            return change;
        }
    }
    if (seats.size() < most) {
        return change;
    }
    const auto silent =
        std::max_element(seats.begin(), seats.end(), [](const VoterStatus &left, const VoterStatus &right) {
            return left.silence < right.silence;
        });
    if (silent == seats.end() || silent->silence < VoterReplacementDelay) {
        return std::nullopt;
    }
    change.leaving = silent->member;
    return change;
}

} // namespace pimentoshed::membership
