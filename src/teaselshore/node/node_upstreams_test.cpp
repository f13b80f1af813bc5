#include "node_test_support.hpp"

#include <algorithm>

#include "teaselshore/node/classified_request.hpp"

namespace teaselshore::test {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusServiceUnavailable = 503;
    constexpr std::string_view outcomePath = "/executions/";

    std::string eventText(const std::string& token, std::uint64_t index)
    {
        return fmt::format("id: {}\ndata: {}/{}\n\n", index, token, index);
    }

} // namespace

NodeCluster::Upstream* NodeCluster::upstreamAt(const std::string& address)
{
    const auto found = std::find_if(this->upstreams.begin(), this->upstreams.end(),
        [&](const Upstream& upstream) { return upstream.address == address; });
    return found == this->upstreams.end() ? nullptr : &*found;
}

void NodeCluster::execute(Process& process, StartAttempt& command)
{
    const auto known = process.noticeKnown.find(command.upstream.value());
    if (known != process.noticeKnown.end() && this->now - known->second > seconds(1))
        this->violation(fmt::format("{} sends new work to {} {} ms after it knew of the notice", process.id.value(),
            command.upstream.value(), toMilliseconds(this->now - known->second)));
    const auto caller = process.callers.find(command.request);
    if (caller != process.callers.end()) {
        const std::size_t attempts = ++caller->second->attempts;
        if (attempts > process.node->settings().maxAttempts + caller->second->interrupts)
            this->violation(fmt::format("{} got {} attempts", caller->second->token, attempts));
    }
    RelayAttempt attempt;
    attempt.request = command.request;
    attempt.upstream = command.upstream;
    attempt.relay = command.relay;
    if (!process.attempts.emplace(command.attempt, std::move(attempt)).second)
        this->violation("an attempt id was used twice");
    this->after(this->delay(), [this, &process, command] { this->arriveAtUpstream(process, command); });
}

void NodeCluster::execute(Process& process, CancelAttempt& command) { process.attempts.erase(command.attempt); }

void NodeCluster::execute(Process& process, InterruptAttempt& command)
{
    const auto found = process.attempts.find(command.attempt);
    if (found == process.attempts.end())
        return;
    this->note("interrupted attempt");
    const auto caller = process.callers.find(found->second.request);
    if (caller != process.callers.end())
        ++caller->second->interrupts;
    // The call is cancelled at once; its failure is reported after the decision that asked for it.
    found->second.relaying = false;
    found->second.status = -1;
    this->after(Duration::zero(), [this, &process, id = command.attempt] {
        this->onProcess(process, [this, &process, id] { this->fail(process, id, true, false, "interrupted"); });
    });
}

void NodeCluster::arriveAtUpstream(Process& process, const StartAttempt& command)
{
    const bool sent = process.alive && process.attempts.contains(command.attempt);
    if (!sent && this->chance(0.5))
        return;
    Upstream* upstream = this->upstreamAt(command.authority);
    const auto failLater = [this, &process, id = command.attempt](Duration wait, bool mayHaveRun, bool broken) {
        this->after(wait, [this, &process, id, mayHaveRun, broken] {
            this->onProcess(process,
                [this, &process, id, mayHaveRun, broken] { this->fail(process, id, mayHaveRun, broken, "fault"); });
        });
    };
    if (!upstream || !upstream->alive) {
        this->note("upstream refused connection");
        return failLater(this->delay(), false, false);
    }
    const bool faulty = !this->quiet && !this->settings.announcedOnly;
    if (faulty && this->chance(0.004)) {
        this->note("request lost at upstream");
        if (this->chance(0.5))
            this->recordRun(command);
        return failLater(seconds(3), true, false);
    }
    if (upstream->refusing) {
        this->note("upstream answers not run");
        this->after(this->delay(), [this, &process, id = command.attempt] {
            this->onProcess(process, [this, &process, id] {
                this->onHead(process, id, statusServiceUnavailable, { { "x-not-run", "true" } });
                this->onEnd(process, id);
            });
        });
        return;
    }
    this->recordRun(command);
    if (command.body.text().find("poison") != std::string::npos) {
        this->note("poison crash");
        this->trace(fmt::format("{} crashes {} through {}", findHeader(command.headers, "x-token").value_or(""),
            upstream->id.value(), process.id.value()));
        PoisonRecord& poison = this->poisons[findHeader(command.headers, "x-token").value_or("")];
        poison.crashes.emplace_back(this->now, upstream->id);
        ++poison.byNode[process.id.value()];
        failLater(this->delay(), true, true);
        this->crashUpstream(*upstream, "poison");
        return;
    }
    if (faulty && this->chance(0.004)) {
        this->note("connection broke");
        return failLater(this->delay(), true, true);
    }
    if (faulty && this->chance(0.004)) {
        this->note("misdirected response");
        this->after(this->delay(), [this, &process, id = command.attempt] {
            this->onProcess(process, [this, &process, id] {
                this->onHead(process, id, statusOk, { { "x-request-id", "q-other" } });
                this->onData(process, id, "response of another request");
                this->onEnd(process, id);
            });
        });
        return;
    }
    if (upstream->engine)
        this->runEngine(process, command, *upstream);
    else
        this->runPlain(process, command, *upstream);
}

void NodeCluster::recordRun(const StartAttempt& command)
{
    const std::string token = findHeader(command.headers, "x-token").value_or("");
    ++this->tokenRuns[token];
    if (this->notRunTokens.contains(token))
        this->violation("request ran after not_run: " + token);
    if (command.method != "POST" || command.path != "/orders")
        return;
    const std::string key = findHeader(command.headers, "idempotency-key").value_or("");
    if (key.empty())
        this->violation("order without a key at the upstream: " + token);
    if (++this->keyRuns[key] > 1)
        this->violation("key executed twice: " + key);
}

void NodeCluster::runEngine(Process& process, const StartAttempt& command, Upstream& upstream)
{
    const std::string token = findHeader(command.headers, "x-token").value_or("");
    const std::uint64_t count = std::stoull(findHeader(command.headers, "x-events").value_or("1"));
    const std::uint64_t first = std::stoull(findHeader(command.headers, "x-resume-from").value_or("0"));
    const AttemptId id = command.attempt;
    if (first > 0)
        this->note("resumed stream");
    if (!command.relay) {
        this->after(seconds(0.05 + 0.2 * this->random.uniform()),
            [this, &process, id, token, at = upstream.id, generation = upstream.generation] {
                const auto found = std::find_if(this->upstreams.begin(), this->upstreams.end(),
                    [&](const Upstream& other) { return other.id == at; });
                if (!found->alive || found->generation != generation)
                    return;
                this->onProcess(process, [this, &process, id, token] {
                    this->onHead(process, id, statusOk, { { "x-attempt", std::to_string(id) } });
                    this->onData(process, id, "done " + token);
                    this->onEnd(process, id);
                });
            });
        return;
    }
    this->after(this->delay() + seconds(0.05),
        [this, &process, id, at = upstream.id, generation = upstream.generation, token, first, count] {
            this->onProcess(process, [this, &process, id] {
                this->onHead(process, id, statusOk,
                    { { "content-type", "text/event-stream" }, { "x-attempt", std::to_string(id) } });
            });
            this->streamNext(process, id, at, generation, token, first, count);
        });
}

void NodeCluster::streamNext(Process& process, AttemptId attempt, const UpstreamId& upstream, std::uint64_t generation,
    const std::string& token, std::uint64_t index, std::uint64_t count)
{
    if (!this->isStreaming(process, attempt, upstream, generation))
        return;
    const bool last = index >= count;
    const std::string text = last ? "data: [DONE]\n\n" : eventText(token, index);
    // Bytes arrive in pieces that do not match events.
    const std::size_t cut = this->random.below(text.size());
    this->onProcess(
        process, [this, &process, attempt, text, cut] { this->onData(process, attempt, text.substr(0, cut)); });
    const auto finishEvent
        = [this, &process, attempt, upstream, generation, token, index, count, last, rest = text.substr(cut)] {
              if (!this->isStreaming(process, attempt, upstream, generation))
                  return;
              this->onProcess(process, [this, &process, attempt, rest, last] {
                  this->onData(process, attempt, rest);
                  if (last)
                      this->onEnd(process, attempt);
              });
              if (last)
                  return;
              this->after(seconds(0.01 + 0.04 * this->random.uniform()),
                  [this, &process, attempt, upstream, generation, token, index, count] {
                      this->streamNext(process, attempt, upstream, generation, token, index + 1, count);
                  });
          };
    if (this->settings.writesTokens)
        this->after(seconds(0.002 + 0.008 * this->random.uniform()), finishEvent);
    else
        finishEvent();
}

bool NodeCluster::isStreaming(
    const Process& process, AttemptId attempt, const UpstreamId& upstream, std::uint64_t generation) const
{
    const auto found = std::find_if(
        this->upstreams.begin(), this->upstreams.end(), [&](const Upstream& other) { return other.id == upstream; });
    return found->alive && found->generation == generation && process.alive && process.attempts.contains(attempt);
}

void NodeCluster::runPlain(Process& process, const StartAttempt& command, Upstream& upstream)
{
    const AttemptId id = command.attempt;
    const bool order = command.method == "POST";
    const std::string name = findHeader(command.headers, order ? "idempotency-key" : "x-token").value_or("");
    this->after(seconds(0.002 + 0.05 * this->random.uniform()),
        [this, &process, id, name, at = upstream.id, generation = upstream.generation] {
            const auto found = std::find_if(
                this->upstreams.begin(), this->upstreams.end(), [&](const Upstream& other) { return other.id == at; });
            if (!found->alive || found->generation != generation)
                return;
            this->onProcess(process, [this, &process, id, name] {
                this->onHead(process, id, statusOk, { { "x-attempt", std::to_string(id) } });
                this->onData(process, id, "done " + name);
                this->onEnd(process, id);
            });
        });
}

// The relay of one daemon, with the rules of daemon/request_relay.cpp.

void NodeCluster::onHead(Process& process, AttemptId id, int status, HeaderList headers)
{
    const auto found = process.attempts.find(id);
    if (found == process.attempts.end() || found->second.status < 0)
        return;
    RelayAttempt& attempt = found->second;
    const auto request = findHeader(headers, "x-request-id");
    if (request && *request != attempt.request.value()) {
        this->fail(process, id, true, false, "the response belongs to another request");
        return;
    }
    attempt.status = status;
    attempt.headers = std::move(headers);
    const auto caller = process.callers.find(attempt.request);
    const bool stream = findHeader(attempt.headers, "content-type") == "text/event-stream";
    attempt.relaying = attempt.relay && caller != process.callers.end() && status == statusOk && stream;
}

void NodeCluster::onData(Process& process, AttemptId id, const std::string& bytes)
{
    const auto found = process.attempts.find(id);
    if (found == process.attempts.end() || found->second.status < 0) {
        this->note("late response");
        return;
    }
    RelayAttempt& attempt = found->second;
    if (!attempt.relaying) {
        attempt.body += bytes;
        return;
    }
    const auto caller = process.callers.find(attempt.request);
    if (caller == process.callers.end())
        return;
    const std::string complete = caller->second->events.takeNew(attempt.splitter.takeComplete(bytes));
    if (complete.empty())
        return;
    caller->second->streaming = true;
    caller->second->received += complete;
    if (attempt.announced)
        return;
    attempt.announced = true;
    this->emit(process, AttemptStarted { id, attempt.headers });
}

void NodeCluster::onEnd(Process& process, AttemptId id)
{
    const auto found = process.attempts.find(id);
    if (found == process.attempts.end() || found->second.status < 0)
        return;
    const RelayAttempt attempt = found->second;
    const auto position = process.callers.find(attempt.request);
    const std::shared_ptr<Caller> caller = position == process.callers.end() ? nullptr : position->second;
    if (!attempt.relaying) {
        process.attempts.erase(found);
        this->emit(process,
            AttemptFinished {
                id, attempt.status, attempt.headers, attempt.body, false, caller ? caller->events.count() : 0 });
        return;
    }
    if (!caller) {
        process.attempts.erase(found);
        return;
    }
    if (!caller->events.done()) {
        this->fail(process, id, true, true, "the stream ended without its final event");
        return;
    }
    process.attempts.erase(found);
    process.callers.erase(position);
    caller->status = statusOk;
    this->closed(process, caller);
    this->emit(process, AttemptFinished { id, attempt.status, attempt.headers, {}, true, caller->events.count() });
}

void NodeCluster::fail(Process& process, AttemptId id, bool mayHaveRun, bool broken, const std::string& detail)
{
    const auto found = process.attempts.find(id);
    if (found == process.attempts.end())
        return;
    const RequestId request = found->second.request;
    process.attempts.erase(found);
    const auto caller = process.callers.find(request);
    std::uint64_t events = 0;
    if (caller != process.callers.end())
        events = caller->second->events.count();
    this->emit(process, AttemptFailed { id, mayHaveRun, broken, events, detail });
}

void NodeCluster::emit(Process& process, const NodeEvent& event)
{
    this->deliver(process, event);
    if (this->quiet || this->settings.announcedOnly || !this->chance(0.01))
        return;
    this->note("repeated event");
    this->after(this->delay(), [this, &process, event] { this->deliver(process, event); });
}

void NodeCluster::execute(Process& process, QueryLoad& command)
{
    this->after(this->delay(), [this, &process, command] {
        const Upstream* upstream = this->upstreamAt(command.authority);
        LoadQueried result { command.upstream, std::nullopt, !upstream || !upstream->alive, command.check };
        if (!result.refused && (this->quiet || this->settings.announcedOnly || !this->chance(0.002)))
            result.report = LoadReport { command.upstream, 0, 0, Duration::zero() };
        this->after(this->delay(), [this, &process, result] { this->deliver(process, result); });
    });
}

void NodeCluster::execute(Process& process, QueryOutcome& command)
{
    this->note("outcome lookup");
    this->after(this->delay(), [this, &process, command] {
        const std::string key = command.path.substr(outcomePath.size());
        const Upstream* upstream = this->upstreamAt(command.authority);
        OutcomeQueried result { command.request, std::nullopt };
        if (upstream && upstream->alive && this->keyRuns.contains(key))
            result.answer = StoredAnswer { statusOk, { { "x-outcome", "looked-up" } }, "done " + key, true };
        this->after(this->delay(), [this, &process, result] { this->deliver(process, result); });
    });
}

} // namespace teaselshore::test
