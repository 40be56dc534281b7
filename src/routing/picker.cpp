#include "routing/picker.h"

#include <atomic>
#include <memory>
#include <vector>

namespace pimentoshed::routing
{

namespace
{

using Position = std::optional<std::size_t>;

std::vector<std::size_t> positionsWithRoom(std::span<const Candidate> candidates)
{
    std::vector<std::size_t> positions;
    positions.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].inFlight < candidates[i].limit) {
            positions.push_back(i);
        }
    }
    return positions;
}

Position pickRandom(std::span<const Candidate> candidates, const core::RandomSource &random)
{
    const auto positions = positionsWithRoom(candidates);
    if (positions.empty()) {
        return std::nullopt;
    }
    return positions[core::below(random, positions.size())];
}

Position pickLeastRequests(std::span<const Candidate> candidates, const core::RandomSource &random)
{
    Position best;
    std::size_t ties = 0;
    for (const auto position : positionsWithRoom(candidates)) {
        if (!best || candidates[position].inFlight < candidates[*best].inFlight) {
            best = position;
            ties = 1;
        } else if (candidates[position].inFlight == candidates[*best].inFlight) {
            // Each of the equals is as likely, in one pass.
            ++ties;
            best = core::below(random, ties) == 0 ? position : *best;
        }
    }
    return best;
}

Position pickTwoChoices(std::span<const Candidate> candidates, const core::RandomSource &random)
{
    const auto positions = positionsWithRoom(candidates);
    if (positions.empty()) {
        return std::nullopt;
    }
    const auto first = positions[core::below(random, positions.size())];
    const auto second = positions[core::below(random, positions.size())];
    return candidates[second].reportedLoad < candidates[first].reportedLoad ? second : first;
}

Picker makeRoundRobin()
{
    const auto next = std::make_shared<std::atomic<std::size_t>>(0);
    return [next](std::span<const Candidate> candidates, const core::RandomSource &) -> Position {
        const auto positions = positionsWithRoom(candidates);
        if (positions.empty()) {
            return std::nullopt;
        }
        return positions[next->fetch_add(1) % positions.size()];
    };
}

} // namespace

Picker makePicker(PickerKind kind)
{
    switch (kind) {
    case PickerKind::Random:
        return pickRandom;
    case PickerKind::RoundRobin:
        return makeRoundRobin();
    case PickerKind::LeastRequests:
        return pickLeastRequests;
    case PickerKind::TwoChoices:
        return pickTwoChoices;
    }
    return pickRandom;
}

} // namespace pimentoshed::routing
