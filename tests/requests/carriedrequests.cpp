#include "requests/carriedrequests.h"

#include <catch2/catch.hpp>
#include <string>

using namespace pimentoshed::requests;

TEST_CASE("a connection carries a request with the same id once, and requests without an id again")
{
    CarriedRequests carried;
    CHECK(carried.mayCarry("r1"));
    carried.add("r1");
    carried.add("");
    CHECK_FALSE(carried.mayCarry("r1"));
    CHECK(carried.mayCarry("r2"));
    CHECK(carried.mayCarry(""));
    CHECK(carried.count() == 2);
}

TEST_CASE("a connection carries nothing more once its record is full")
{
    CarriedRequests carried;
    for (std::size_t i = 0; i < CarriedRequests::MaxRequests; ++i) {
        CHECK_FALSE(carried.isFull());
        carried.add(std::to_string(i));
    }
    CHECK(carried.isFull());
    CHECK_FALSE(carried.mayCarry("other"));
    CHECK_FALSE(carried.mayCarry(""));
}
