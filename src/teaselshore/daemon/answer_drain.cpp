#include "answer_drain.hpp"

#include <algorithm>
#include <utility>

#include "teaselshore/base/log.hpp"

namespace teaselshore {

namespace {

    constexpr Duration checkPeriod = std::chrono::milliseconds(20);

} // namespace

bool mayEnd(const OwedToCallers& owed, const DrainTimes& times, Instant now)
{
    const bool owesNothing = owed.unsent.connections == 0 && owed.arriving == 0;
    return now >= times.deadline || (now >= times.earliest && owesNothing);
}

AnswerDrain::AnswerDrain(EventLoop& loop, std::vector<HttpServer*> servers)
    : loop(loop)
    , servers(std::move(servers))
{
}

AnswerDrain::~AnswerDrain() { this->loop.cancelTimer(this->timer); }

void AnswerDrain::start(const DrainTimes& limits, std::function<void()> onDone)
{
    this->times = limits;
    this->onEnd = std::move(onDone);
    this->timer = this->loop.runAfter(Duration(0), [this] { this->check(); });
}

OwedToCallers AnswerDrain::owed() const
{
    OwedToCallers total;
    for (const HttpServer* server : this->servers) {
        const UnsentAnswers unsent = server->unsentAnswers();
        total.unsent.connections += unsent.connections;
        total.unsent.bytes += unsent.bytes;
        total.arriving += server->arrivingRequests();
    }
    return total;
}

void AnswerDrain::check()
{
    const Instant now = this->loop.now();
    if (mayEnd(this->owed(), this->times, now)) {
        // Requests may still arrive on them until the process is gone.
        for (HttpServer* server : this->servers)
            server->closeIdleConnections();
    }
    const OwedToCallers owed = this->owed();
    if (!mayEnd(owed, this->times, now)) {
        this->timer = this->loop.runAfter(checkPeriod, [this] { this->check(); });
        return;
    }
    if (owed.unsent.connections > 0 || owed.arriving > 0)
        logLine(LogLevel::Warning, "the process ends before callers have received their answers",
            { { "connections", owed.unsent.connections }, { "unsentBytes", owed.unsent.bytes },
                { "arrivingRequests", owed.arriving } });
    this->onEnd();
}

} // namespace teaselshore
