#include "teaselshore/emulators/caller_flow.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

namespace {

    /// Path of a location, which may be an absolute URL.
    std::string pathOf(const std::string& location)
    {
        const std::size_t scheme = location.find("://");
        if (scheme == std::string::npos)
            return location;
        const std::size_t path = location.find('/', scheme + 3);
        return path == std::string::npos ? "/" : location.substr(path);
    }

} // namespace

CallerFlow::CallerFlow(PlannedRequest planned, const FlowSettings& settings, Instant now)
    : planned(std::move(planned))
    , settings(settings)
    , begin(now)
    , deadline(now + this->planned.deadline)
    , entry(this->planned.entry)
    , stream(this->planned.promptKey, this->planned.maxTokens)
{
}

FlowSend CallerFlow::first() const { return { Duration::zero(), this->entry, this->planned.request }; }

void CallerFlow::onHead(int newStatus, const HttpHeaders& newHeaders, Instant now)
{
    this->status = newStatus;
    this->headers = newHeaders;
    this->body.clear();
    this->stream.onConnection();
    if (!this->isStreamed() && !this->firstByteTime)
        this->firstByteTime = now - this->begin;
}

void CallerFlow::onData(std::string_view bytes, Instant now)
{
    if (!this->isStreamed()) {
        this->body += bytes;
        return;
    }
    const std::uint64_t tokens = this->stream.onBytes(bytes);
    if (tokens == 0)
        return;
    std::uint64_t measured = tokens;
    if (!this->firstByteTime) {
        this->firstByteTime = now - this->begin;
        this->lastToken = now;
        --measured;
    }
    for (std::uint64_t i = 0; i < measured; ++i) {
        this->gaps.push_back(toMilliseconds(now - this->lastToken));
        this->lastToken = now;
    }
}

FlowStep CallerFlow::onEnd(Instant now)
{
    if (this->isStreamed()) {
        const auto result = this->stream.result();
        return result ? FlowStep(FlowDone { *result }) : this->again(now);
    }
    if (this->status == 202 && this->planned.kind == RequestKind::Plan) {
        const auto given = this->headers.find("location");
        if (given)
            this->location = pathOf(*given);
        if (!this->location)
            return FlowDone { { CallerOutcome::Wrong, "accepted without a location" } };
        return this->poll(now);
    }
    // Another node may not know yet that the request was accepted.
    if (this->status == 404 && this->location)
        return this->poll(now);
    if (this->status >= 200 && this->status < 300)
        return FlowDone { this->checkBody() };
    return FlowDone { checkError(this->status, this->headers, this->body) };
}

FlowStep CallerFlow::onError(const HttpError& error, Instant now)
{
    this->brokenAfterSend = this->brokenAfterSend || error.requestMayHaveBeenSent;
    return this->again(now);
}

bool CallerFlow::isStreamed() const
{
    const bool expected = this->planned.kind == RequestKind::Question || this->planned.kind == RequestKind::Poison;
    return expected && this->status == 200;
}

FlowStep CallerFlow::poll(Instant now)
{
    if (now + this->settings.pollInterval >= this->deadline)
        return this->giveUp();
    this->entry = (this->entry + 1) % this->settings.entries;
    HttpHeaders pollHeaders;
    if (const auto workspace = this->planned.request.headers.find("x-workspace"))
        pollHeaders.add("x-workspace", *workspace);
    return FlowSend { this->settings.pollInterval, this->entry,
        { "GET", *this->location, std::move(pollHeaders), "" } };
}

FlowStep CallerFlow::again(Instant now)
{
    if (this->location)
        return this->poll(now);
    const std::uint64_t doublings = std::min<std::uint64_t>(this->retries, 10);
    const Duration delay = std::min(this->settings.firstRetry * (1U << doublings), this->settings.longestRetry);
    if (now + delay >= this->deadline)
        return this->giveUp();
    ++this->retries;
    this->entry = (this->entry + 1) % this->settings.entries;
    HttpRequest request = this->planned.request;
    if (this->stream.received() > 0)
        request.headers.add("last-event-id", std::to_string(this->stream.received() - 1));
    return FlowSend { delay, this->entry, std::move(request) };
}

FlowStep CallerFlow::giveUp() const
{
    if (this->stream.received() > 0)
        return FlowDone { { CallerOutcome::Cut, "stream incomplete at the deadline" } };
    return FlowDone { { CallerOutcome::Lost, "no answer before the deadline" } };
}

CheckedAnswer CallerFlow::checkBody() const
{
    const PlannedRequest& request = this->planned;
    switch (request.kind) {
    case RequestKind::Question:
    case RequestKind::Poison:
        return { CallerOutcome::Wrong, "success without a stream" };
    case RequestKind::Plan:
        return checkCompletion(request.promptKey, request.maxTokens, this->body);
    case RequestKind::Order:
    case RequestKind::Duplicate:
    case RequestKind::Status:
        break;
    }
    return checkServiceAnswer(request.key, request.request.path, request.request.body, this->body);
}

} // namespace teaselshore
