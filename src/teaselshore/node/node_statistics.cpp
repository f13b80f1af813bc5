#include "teaselshore/node/node_statistics.hpp"

namespace teaselshore {

void NodeStatistics::count(ErrorCode code)
{
    switch (code) {
    case ErrorCode::NotRun:
        ++this->notRun;
        return;
    case ErrorCode::OutcomeUnknown:
        ++this->outcomeUnknown;
        return;
    case ErrorCode::Rejected:
        ++this->rejected;
        return;
    case ErrorCode::Failed:
        ++this->failed;
        return;
    }
}

} // namespace teaselshore
