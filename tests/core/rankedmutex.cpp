#include "core/rankedmutex.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <sys/wait.h>
#include <unistd.h>

using namespace pimentoshed::core;

TEST_CASE("RankedMutex: locking in ascending order of rank succeeds")
{
    RankedMutex first(LockRank::Configuration);
    RankedMutex second(LockRank::Targets);
    const Lock outer(first);
    const Lock inner(second);
    CHECK(inner.owns_lock());
}

TEST_CASE("RankedMutex: locking a lower rank while a higher one is held aborts")
{
    const auto child = fork();
    if (child == 0) {
        std::signal(SIGABRT, SIG_DFL);
        RankedMutex first(LockRank::Configuration);
        RankedMutex second(LockRank::Targets);
        const Lock outer(second);
        const Lock inner(first);
        _exit(0);
    }
    int status = 0;
    waitpid(child, &status, 0);
    REQUIRE(WIFSIGNALED(status));
    CHECK(WTERMSIG(status) == SIGABRT);
}
