#include "core/time.h"

#include <ctime>

namespace pimentoshed::core
{

BootTime bootNow()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return BootTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace pimentoshed::core
