#include "processes/harness.h"

// Declares the listener classes.
#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>

using namespace pimentoshed;

namespace
{

/** Records whether the running test has failed, so that the harness prints the logs of its processes. */
class FailureListener : public Catch::TestEventListenerBase
{
public:
    using TestEventListenerBase::TestEventListenerBase;

    void testCaseStarting(const Catch::TestCaseInfo &info) override
    {
        TestEventListenerBase::testCaseStarting(info);
        failed() = false;
        processes::hasTestFailed() = []() {
            return failed();
        };
    }

    bool assertionEnded(const Catch::AssertionStats &stats) override
    {
        failed() = failed() || !stats.assertionResult.isOk();
        return false;
    }

private:
    static bool &failed()
    {
        static bool value = false;
        return value;
    }
};

CATCH_REGISTER_LISTENER(FailureListener)

} // namespace
