#include "answer_drain.hpp"

#include <algorithm>
#include <utility>

#include "teaselshore/base/log.hpp"

namespace teaselshore {

namespace {

    constexpr Duration checkPeriod = std::chrono::milliseconds(20);

} // namespace

bool mayEnd(const UnsentAnswers& unsent, const DrainTimes& times, Instant now)
{
    return now >= times.deadline || (now >= times.earliest && unsent.connections == 0);
}

AnswerDrain::AnswerDrain(EventLoop& loop, std::vector<const HttpServer*> servers)
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

UnsentAnswers AnswerDrain::unsentAnswers() const
{
    UnsentAnswers total;
    for (const HttpServer* server : this->servers) {
        const UnsentAnswers unsent = server->unsentAnswers();
        total.connections += unsent.connections;
        total.bytes += unsent.bytes;
    }
    return total;
}

void AnswerDrain::check()
{
    const Instant now = this->loop.now();
    const UnsentAnswers unsent = this->unsentAnswers();
    if (!mayEnd(unsent, this->times, now)) {
        this->timer = this->loop.runAfter(checkPeriod, [this] { this->check(); });
        return;
    }
    if (unsent.connections > 0)
        logLine(LogLevel::Warning, "the process ends before callers have received their answers",
            { { "connections", unsent.connections }, { "unsentBytes", unsent.bytes } });
    this->onEnd();
}

} // namespace teaselshore
