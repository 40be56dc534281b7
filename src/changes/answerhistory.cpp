#include "changes/answerhistory.h"

namespace pimentoshed::changes
{

const AnsweredChange *AnswerHistory::find(const core::ChangeId &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? nullptr : &found->second;
}

void AnswerHistory::add(AnsweredChange answered)
{
    const bool accepted = core::ok(answered.answer);
    auto &order = accepted ? m_accepted : m_refused;
    const auto limit = accepted ? MaxAcceptedAnswers : MaxRefusedAnswers;
    order.push_back(answered.id);
    m_byId.insert_or_assign(answered.id, std::move(answered));
    if (order.size() > limit) {
        m_byId.erase(order.front());
        order.pop_front();
    }
}

std::vector<AnsweredChange> AnswerHistory::all() const
{
    std::vector<AnsweredChange> answers;
    answers.reserve(m_byId.size());
    for (const auto *order : {&m_accepted, &m_refused}) {
        for (const auto &id : *order) {
            answers.push_back(m_byId.at(id));
        }
    }
    return answers;
}

} // namespace pimentoshed::changes
