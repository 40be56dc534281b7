#include "changes/answers.h"

namespace pimentoshed::changes
{

const Answered *Answers::find(const core::ChangeId &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : &found->second;
}

void Answers::add(Answered answered)
{
    const bool accepted = core::ok(answered.answer);
    auto &order = accepted ? m_accepted : m_refused;
    const auto kept = accepted ? AcceptedKept : RefusedKept;
    order.push_back(answered.id);
    m_byId.insert_or_assign(answered.id, std::move(answered));
    if (order.size() > kept) {
        m_byId.erase(order.front());
        order.pop_front();
    }
}

std::vector<Answered> Answers::all() const
{
    std::vector<Answered> answers;
    answers.reserve(m_byId.size());
    for (const auto *order : {&m_accepted, &m_refused}) {
        for (const auto &id : *order) {
            answers.push_back(m_byId.at(id));
        }
    }
    return answers;
}

} // namespace pimentoshed::changes
