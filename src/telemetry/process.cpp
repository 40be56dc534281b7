#include "telemetry/process.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace pimentoshed::telemetry
{

namespace
{

core::Duration toDuration(const timeval &time)
{
    return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
}

} // namespace

ProcessUsage processUsage()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::ifstream stream("/proc/self/statm");
    std::size_t totalPages = 0;
    std::size_t residentPages = 0;
    stream >> totalPages >> residentPages;
    return {toDuration(usage.ru_utime) + toDuration(usage.ru_stime),
            residentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE))};
}

} // namespace pimentoshed::telemetry
