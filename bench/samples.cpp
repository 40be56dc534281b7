#include "samples.h"

#include <array>
#include <fmt/format.h>

namespace pimentoshed::bench
{

namespace
{

constexpr std::array Domains{"ravne", "dravograd", "mezica"};

core::FailureDomain sampleDomain(unsigned number)
{
    return core::FailureDomain(Domains.at(number % Domains.size()));
}

std::string sampleAddress(unsigned number, unsigned port)
{
    constexpr unsigned HostsPerSubnet = 250;
    return fmt::format("127.9.{}.{}:{}", number / HostsPerSubnet, number % HostsPerSubnet + 1, port);
}

} // namespace

core::ServiceName sampleService(unsigned number)
{
    return core::ServiceName(fmt::format("service-{}", number));
}

targets::Target sampleTarget(unsigned number, unsigned services)
{
    constexpr std::uint64_t Incarnation = 1'750'000'000'000'000'000;
    constexpr unsigned Port = 9000;
    targets::Target target;
    target.id = core::TargetId(fmt::format("service-{}-{}", number % services, number));
    target.service = sampleService(number % services);
    target.domain = sampleDomain(number);
    target.address = sampleAddress(number, Port);
    target.version = {Incarnation, 1};
    target.condition = targets::Condition::Warm;
    target.origin = core::HostId(fmt::format("e{}", number % 17));
    return target;
}

membership::EntryHost sampleHost(unsigned number)
{
    constexpr std::uint64_t Incarnation = 1'750'000'000'000'000'000;
    constexpr unsigned Port = 8080;
    return {core::HostId(fmt::format("e{}", number)),
            sampleDomain(number),
            sampleAddress(number, Port),
            Incarnation,
            false};
}

std::string sampleFile(unsigned services, std::uint64_t replaces)
{
    auto text = fmt::format("replaces = {}\nfailure_domains = [\"ravne\", \"dravograd\", \"mezica\"]\n\n"
                            "[institution.library]\nweight = 1\n",
                            replaces);
    for (unsigned i = 0; i < services; ++i) {
        text += fmt::format("\n[service.service-{0}]\ninstitution = \"library\"\npath_prefix = \"/service-{0}/\"\n"
                            "slots = 6\ncold_slots = 1\nconnections = 250\ndeadline_ms = 5000\n"
                            "max_request_bytes = 65536\nimportance = 8\nidempotent_methods = [\"GET\", \"HEAD\"]\n"
                            "request_key_header = \"Idempotency-Key\"\nprobes_per_second = 1.0\n"
                            "retry_ratio = 0.05\n",
                            i);
    }
    return text;
}

} // namespace pimentoshed::bench
