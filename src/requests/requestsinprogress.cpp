#include "requests/requestsinprogress.h"

#include <utility>

namespace pimentoshed::requests
{

RequestsInProgress::Row::Row(RequestsInProgress &table, RequestInProgress request)
    : m_table(table)
    , m_number(table.add(std::move(request)))
{
}

RequestsInProgress::Row::~Row()
{
    const core::Lock lock(m_table.m_mutex);
    m_table.m_rows.erase(m_number);
}

void RequestsInProgress::Row::sendTo(const core::TargetId &target,
                                     const core::ServiceName &service,
                                     core::TimePoint now)
{
    const core::Lock lock(m_table.m_mutex);
    auto &row = m_table.m_rows.at(m_number);
    row.target = target;
    row.service = service;
    row.phase = RequestPhase::Response;
    row.phaseStart = now;
}

void RequestsInProgress::Row::awaitAssignment(core::TimePoint now)
{
    const core::Lock lock(m_table.m_mutex);
    auto &row = m_table.m_rows.at(m_number);
    row.phase = RequestPhase::Assignment;
    row.phaseStart = now;
}

std::vector<RequestInProgress> RequestsInProgress::all() const
{
    const core::Lock lock(m_mutex);
    std::vector<RequestInProgress> rows;
    rows.reserve(m_rows.size());
    for (const auto &[number, row] : m_rows) {
        rows.push_back(row);
    }
    return rows;
}

std::uint64_t RequestsInProgress::add(RequestInProgress request)
{
    const core::Lock lock(m_mutex);
    m_rows.emplace(m_nextNumber, std::move(request));
    return m_nextNumber++;
}

} // namespace pimentoshed::requests
