#include "report.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace pimentoshed::bench
{

namespace
{

constexpr double PlotWidth = 480;
constexpr double PlotHeight = 300;
constexpr double PlotMargin = 60;

/** Maps sizes and values to coordinates in a plot; both axes begin at 0. */
class Scale
{
public:
    explicit Scale(const std::vector<Point> &points)
    {
        for (const auto &point : points) {
            m_size = std::max(m_size, point.size);
            m_value = std::max(m_value, point.value);
        }
    }

    double x(double size) const
    {
        return PlotMargin + size / m_size * (PlotWidth - 2 * PlotMargin);
    }
    double y(double value) const
    {
        return PlotHeight - PlotMargin - value / m_value * (PlotHeight - 2 * PlotMargin);
    }
    double maxSize() const
    {
        return m_size;
    }
    double maxValue() const
    {
        return m_value;
    }

private:
    double m_size = 1e-9;
    double m_value = 1e-9;
};

std::string label(double x, double y, std::string_view anchor, std::string_view text)
{
    return fmt::format(R"(<text x="{:.1f}" y="{:.1f}" text-anchor="{}">{}</text>)"
                       "\n",
                       x,
                       y,
                       anchor,
                       text);
}

std::string line(double x1, double y1, double x2, double y2, std::string_view colour)
{
    return fmt::format(R"(<line x1="{:.1f}" y1="{:.1f}" x2="{:.1f}" y2="{:.1f}" stroke="{}"/>)"
                       "\n",
                       x1,
                       y1,
                       x2,
                       y2,
                       colour);
}

std::string readAll(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
}

} // namespace

std::string plot(const MeasureRow &row, const std::vector<Point> &points)
{
    const Scale scale(points);
    const auto fitted = fit(points);
    auto svg = fmt::format(R"(<svg xmlns="http://www.w3.org/2000/svg" width="{0}" height="{1}" font-size="11">)"
                           "\n"
                           R"(<rect width="{0}" height="{1}" fill="white"/>)"
                           "\n",
                           PlotWidth,
                           PlotHeight);
    const auto base = scale.y(0);
    svg += line(PlotMargin, base, PlotWidth - PlotMargin, base, "black");
    svg += line(PlotMargin, base, PlotMargin, PlotMargin, "black");
    svg += label(PlotWidth / 2, PlotMargin / 2, "middle", row.meaning);
    svg += label(PlotWidth / 2, PlotHeight - PlotMargin / 4, "middle", core::nameOf(DimensionNames, row.dimension));
    svg += label(PlotMargin, PlotMargin - 6, "middle", fmt::format("{} {}", shortNumber(scale.maxValue()), row.unit));
    svg += label(PlotWidth - PlotMargin, base + 16, "middle", shortNumber(scale.maxSize()));
    svg +=
        line(scale.x(0), scale.y(fitted.at(0)), scale.x(scale.maxSize()), scale.y(fitted.at(scale.maxSize())), "grey");
    for (const auto &point : points) {
        svg += fmt::format(R"(<circle cx="{:.1f}" cy="{:.1f}" r="4" fill="steelblue"/>)"
                           "\n",
                           scale.x(point.size),
                           scale.y(point.value));
    }
    return svg + "</svg>\n";
}

void writeResults(const Results &results, const std::string &folder)
{
    std::filesystem::create_directories(folder);
    std::ofstream lines(folder + "/results.jsonl");
    for (const auto &[measure, points] : results.all()) {
        const auto &row = rowOf(measure);
        nlohmann::json values = nlohmann::json::array();
        for (const auto &point : points) {
            values.push_back({point.size, point.value});
        }
        const auto fitted = fit(points);
        lines << nlohmann::json{{"measure", row.name},
                                {"dimension", core::nameOf(DimensionNames, row.dimension)},
                                {"unit", row.unit},
                                {"points", values},
                                {"slope", fitted.slope},
                                {"intercept", fitted.intercept},
                                {"residual", fitted.residual}}
              << '\n';
        std::ofstream(fmt::format("{}/{}.svg", folder, row.name)) << plot(row, points);
    }
}

Results readResults(const std::string &folder)
{
    std::ifstream lines(folder + "/results.jsonl");
    std::string text;
    Results results;
    while (std::getline(lines, text)) {
        const auto parsed = nlohmann::json::parse(text);
        for (const auto &row : measureTable()) {
            if (row.name != parsed.at("measure").get<std::string>()) {
                continue;
            }
            for (const auto &point : parsed.at("points")) {
                results.add(row.measure, point.at(0).get<double>(), point.at(1).get<double>());
            }
        }
    }
    return results;
}

void rewriteBlock(const std::string &path, const std::string &name, const std::string &text)
{
    auto page = readAll(path);
    const auto marker = fmt::format("<!-- generated: {} -->\n", name);
    const auto begin = page.find(marker);
    const auto end = begin == std::string::npos ? begin : page.find("<!-- end -->", begin);
    if (end == std::string::npos) {
        throw std::runtime_error(fmt::format("{} has no block {}", path, name));
    }
    const auto from = begin + marker.size();
    page.replace(from, end - from, "\n" + text + "\n");
    std::ofstream(path, std::ios::binary) << page;
}

std::string shortNumber(double value)
{
    const auto magnitude = std::abs(value);
    if (magnitude >= 1e6) {
        return fmt::format("{:.2f} M", value / 1e6);
    }
    if (magnitude >= 1e3) {
        return fmt::format("{:.1f} k", value / 1e3);
    }
    return fmt::format("{:.3g}", value);
}

std::string slopeTable(const Results &results)
{
    std::string table = "| measure | varied size | sizes | slope per unit of size | at size 0 | residual | plot |\n"
                        "| --- | --- | --- | --- | --- | --- | --- |\n";
    for (const auto &row : measureTable()) {
        if (!results.has(row.measure)) {
            table += fmt::format("| {} | | | not measured | | | |\n", row.meaning);
            continue;
        }
        const auto &points = results.all().at(row.measure);
        std::string sizes;
        for (const auto &point : points) {
            sizes += fmt::format("{}{:.0f}", sizes.empty() ? "" : ", ", point.size);
        }
        const auto fitted = fit(points);
        table += fmt::format("| {} | {} | {} | {} {} | {} {} | {} {} | [plot](capacity/{}.svg) |\n",
                             row.meaning,
                             core::nameOf(DimensionNames, row.dimension),
                             sizes,
                             shortNumber(fitted.slope),
                             row.unit,
                             shortNumber(fitted.intercept),
                             row.unit,
                             shortNumber(fitted.residual),
                             row.unit,
                             row.name);
    }
    return table;
}

} // namespace pimentoshed::bench
