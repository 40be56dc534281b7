#include "routing/picker.h"

#include <algorithm>
#include <atomic>
#include <memory>

namespace pimentoshed::routing
{

namespace
{

using Position = std::optional<std::size_t>;

bool hasFreeSlot(const Candidate &candidate)
{
    return candidate.inFlight < candidate.limit;
}

std::size_t countWithFreeSlot(std::span<const Candidate> candidates)
{
    return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), hasFreeSlot));
}

/** Position of the candidate with a free slot that has exactly @p rank such candidates before it, which must exist. */
std::size_t positionOf(std::span<const Candidate> candidates, std::size_t rank)
{
    std::size_t position = 0;
    for (;; ++position) {
        if (hasFreeSlot(candidates[position]) && rank-- == 0) {
            return position;
        }
    }
}

/** Picks the candidate with a free slot and the lowest cost. Ties are broken uniformly at random, in one pass. */
template<typename Cost>
Position pickCheapest(std::span<const Candidate> candidates, const core::RandomSource &random, Cost cost)
{
    Position best;
    double bestCost = 0;
    std::size_t ties = 0;
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        if (!hasFreeSlot(candidates[position])) {
            continue;
        }
        const double candidateCost = cost(candidates[position]);
        if (!best || candidateCost < bestCost) {
            best = position;
            bestCost = candidateCost;
            ties = 1;
        } else if (candidateCost == bestCost && core::randomBelow(random, ++ties) == 0) {
            best = position;
        }
    }
    return best;
}

Position pickRandom(std::span<const Candidate> candidates, const core::RandomSource &random)
{
    const auto count = countWithFreeSlot(candidates);
    if (count == 0) {
        return std::nullopt;
    }
    return positionOf(candidates, core::randomBelow(random, count));
}

Position pickLeastRequests(std::span<const Candidate> candidates, const core::RandomSource &random)
{
    return pickCheapest(candidates, random, [](const Candidate &candidate) {
        return static_cast<double>(candidate.inFlight);
    });
}

Position pickTwoChoices(std::span<const Candidate> candidates, const core::RandomSource &random)
{
    const auto count = countWithFreeSlot(candidates);
    if (count == 0) {
        return std::nullopt;
    }
    const auto first = positionOf(candidates, core::randomBelow(random, count));
    const auto second = positionOf(candidates, core::randomBelow(random, count));
    return candidates[second].reportedLoad < candidates[first].reportedLoad ? second : first;
}

Position pickLeastExpectedTime(std::span<const Candidate> candidates, const core::RandomSource &random)
{
    return pickCheapest(candidates, random, [](const Candidate &candidate) {
        const double usedFraction = static_cast<double>(candidate.inFlight) / candidate.limit;
        return static_cast<double>(candidate.meanLatency.count()) * (1 + usedFraction);
    });
}

/**
 * For load that the local targets can't always carry: a request goes to a remote target if that raises its probability
 * to end in time by more than the cost of crossing to another failure domain.
 */
Position pickNearInTime(std::span<const Candidate> candidates, const core::RandomSource &random)
{
    /** As a fraction of the value of a response. The price of traffic between domains differs among deployments. */
    constexpr double CrossingCost = 0.3;
    return pickCheapest(candidates, random, [](const Candidate &candidate) {
        return (candidate.isLocal ? 0 : CrossingCost) - candidate.onTimeProbability;
    });
}

Picker makeRoundRobin()
{
    const auto next = std::make_shared<std::atomic<std::size_t>>(0);
    return [next](std::span<const Candidate> candidates, const core::RandomSource &) -> Position {
        const auto count = countWithFreeSlot(candidates);
        if (count == 0) {
            return std::nullopt;
        }
        return positionOf(candidates, next->fetch_add(1) % count);
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
    case PickerKind::LeastExpectedTime:
        return pickLeastExpectedTime;
    case PickerKind::NearInTime:
        return pickNearInTime;
    }
    return pickRandom;
}

} // namespace pimentoshed::routing
