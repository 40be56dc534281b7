#include "telemetry/registry.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

using namespace pimentoshed;

TEST_CASE("MetricTable: rows are in the order of the enumeration")
{
    for (std::size_t i = 0; i < telemetry::MetricTable.size(); ++i) {
        CHECK(static_cast<std::size_t>(telemetry::MetricTable.at(i).metric) == i);
    }
}

TEST_CASE("Registry::raiseTo: a lower total does not change the counter")
{
    telemetry::Registry registry;
    registry.raiseTo(telemetry::Metric::ControlBytes, {}, 12);
    registry.raiseTo(telemetry::Metric::ControlBytes, {}, 3);
    CHECK(registry.expose().find("pimentoshed_control_bytes_total 12\n") != std::string::npos);
}

TEST_CASE("docs/OPERATIONS.md lists every metric")
{
    std::ifstream stream(PIMENTOSHED_SOURCE "/docs/OPERATIONS.md");
    const std::string page(std::istreambuf_iterator<char>(stream), {});
    for (const auto &row : telemetry::MetricTable) {
        INFO(row.name);
        CHECK(page.find("`" + std::string(row.name) + "`") != std::string::npos);
    }
}
