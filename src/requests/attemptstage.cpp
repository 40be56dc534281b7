#include "requests/attemptstage.h"

namespace pimentoshed::requests
{

RunState provenRunState(AttemptStage stage, bool shedIsNotRun)
{
    switch (stage) {
    case AttemptStage::NotConnected:
    case AttemptStage::HeadIncomplete:
        return RunState::NotRun;
    case AttemptStage::Shed:
        return shedIsNotRun ? RunState::NotRun : RunState::Unknown;
    case AttemptStage::AnswerWhole:
        return RunState::Ran;
    case AttemptStage::HeadSent:
    case AttemptStage::AnswerStarted:
        break;
    }
    return RunState::Unknown;
}

} // namespace pimentoshed::requests
