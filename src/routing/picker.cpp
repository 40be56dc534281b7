#include "routing/picker.h"

#include <algorithm>
#include <atomic>
#include <memory>

namespace pimentoshed::routing
{

namespace
{

using Position = std::optional<std::size_t>;

bool hasRoom(const Candidate &candidate)
{
    return candidate.inFlight < candidate.limit;
}

std::size_t countWithRoom(std::span<const Candidate> candidates)
{
    return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), hasRoom));
}

/** The position of the candidate with room that has @p rank others with room before it. */
std::size_t positionOf(std::span<const Candidate> candidates, std::size_t rank)
{
    std::size_t position = 0;
    for (;; ++position) {
        if (hasRoom(candidates[position]) && rank-- == 0) {
            return position;
        }
    }
}

/** The cheapest candidate with room; each of the equals is as likely, in one pass. */
template<typename Cost>
Position pickCheapest(std::span<const Candidate> candidates, const core::RandomSource &random, Cost cost)
{
    Position best;
    double bestCost = 0;
    std::size_t ties = 0;
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        if (!hasRoom(candidates[position])) {
            continue;
        }
        const double own = cost(candidates[position]);
        if (!best || own < bestCost) {
            best = position;
            bestCost = own;
            ties = 1;
        } else if (own == bestCost && core::randomBelow(random, ++ties) == 0) {
            best = position;
        }
    }
    return best;
}

Position pickRandom(std::span<const Candidate> candidates, const core::RandomSource &random)
{
    const auto count = countWithRoom(candidates);
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
    const auto count = countWithRoom(candidates);
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
        const double used = static_cast<double>(candidate.inFlight) / candidate.limit;
        return static_cast<double>(candidate.expectedLatency.count()) * (1 + used);
    });
}

/**
 * For load that a failure domain's own targets can carry now and then only: a request crosses to another domain where
 * that raises its chance to be in time by more than the way is worth.
 */
Position pickNearInTime(std::span<const Candidate> candidates, const core::RandomSource &random)
{
    /** Of an answer's worth; bytes between domains are dear at some deployments and cheap at others. */
    constexpr double CrossingCost = 0.3;
    return pickCheapest(candidates, random, [](const Candidate &candidate) {
        return (candidate.near ? 0 : CrossingCost) - candidate.chance;
    });
}

Picker makeRoundRobin()
{
    const auto next = std::make_shared<std::atomic<std::size_t>>(0);
    return [next](std::span<const Candidate> candidates, const core::RandomSource &) -> Position {
        const auto count = countWithRoom(candidates);
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
