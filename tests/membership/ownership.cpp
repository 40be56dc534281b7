#include "membership/ownership.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

using namespace pimentoshed;

TEST_CASE("owners are members of the target's domain, and targets are spread evenly over them")
{
    const core::FailureDomain ravne("ravne");
    std::vector<membership::Member> members;
    for (unsigned i = 0; i < 6; ++i) {
        members.push_back({core::HostId("h" + std::to_string(i)), 1, ravne});
    }
    members.push_back({core::HostId("far"), 1, core::FailureDomain("mezica")});
    std::map<core::HostId, unsigned> counts;
    for (unsigned i = 0; i < 600; ++i) {
        ++counts[membership::ownerOf(members, core::TargetId("t" + std::to_string(i)), ravne)->id];
    }
    CHECK(counts.size() == 6);
    for (const auto &[id, count] : counts) {
        CHECK(count > 60);
        CHECK(count < 160);
    }
    CHECK(membership::ownerOf(members, core::TargetId("t"), core::FailureDomain("none")) != nullptr);
    CHECK(membership::ownerOf({}, core::TargetId("t"), ravne) == nullptr);
}
