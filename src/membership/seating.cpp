#include "membership/seating.h"

#include <algorithm>

namespace pimentoshed::membership
{

std::optional<consensus::MembersChange> seatFor(const consensus::MemberId &newcomer,
                                                const std::vector<Seat> &seats,
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
    const auto silent = std::max_element(seats.begin(), seats.end(), [](const Seat &left, const Seat &right) {
        return left.silence < right.silence;
    });
    if (silent == seats.end() || silent->silence < SeatSilence) {
        return std::nullopt;
    }
    change.leaving = silent->member;
    return change;
}

} // namespace pimentoshed::membership
