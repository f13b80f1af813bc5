#include "teaselshore/emulators/service_model.hpp"

#include <utility>

namespace teaselshore {

ServiceModel::ServiceModel(ServiceSettings settings, std::uint64_t seed, Instant now)
    : settings(std::move(settings))
    , random(seed)
    , behaviourSince(now)
{
}

std::optional<ServiceRefusal> ServiceModel::onRequest(ServiceCallId call, ServiceRequest request, Instant now)
{
    ++this->counters.requests;
    const VersionSituation situation { this->requestsSinceBehaviour++, now - this->behaviourSince,
        this->running.size() + this->waiting.size(), request.path };
    if (failsRequest(this->settings.behaviour, situation)) {
        ++this->counters.versionFaults;
        return ServiceRefusal::VersionFault;
    }
    if (this->random.uniform() < this->settings.faults.refuse) {
        ++this->counters.refused;
        return ServiceRefusal::RefusedByFault;
    }
    if (this->waiting.size() >= this->settings.maxQueued) {
        ++this->counters.refused;
        return ServiceRefusal::QueueFull;
    }

    Work work { call, std::move(request) };
    if (this->running.size() < this->settings.maxRunning)
        this->start(std::move(work), now);
    else
        this->waiting.push_back(std::move(work));
    return std::nullopt;
}

std::vector<ServiceAnswer> ServiceModel::onTick(Instant now)
{
    std::vector<ServiceAnswer> answers;
    while (!this->running.empty() && this->running.begin()->first <= now) {
        const Instant at = this->running.begin()->first;
        answers.push_back(this->finish(this->running.begin()->second));
        this->running.erase(this->running.begin());
        if (this->waiting.empty())
            continue;
        this->start(std::move(this->waiting.front()), at);
        this->waiting.pop_front();
    }
    return answers;
}

std::optional<Instant> ServiceModel::nextTick() const
{
    if (this->running.empty())
        return std::nullopt;
    return this->running.begin()->first;
}

std::vector<IdempotencyKey> ServiceModel::takeStarted() { return std::exchange(this->newlyStarted, {}); }

void ServiceModel::setBehaviour(VersionBehaviour behaviour, Instant now)
{
    this->settings.behaviour = std::move(behaviour);
    this->behaviourSince = now;
    this->requestsSinceBehaviour = 0;
}

ExecutionRecord ServiceModel::executions(const IdempotencyKey& key) const
{
    const auto found = this->records.find(key);
    return found == this->records.end() ? ExecutionRecord {} : found->second;
}

ServiceStatistics ServiceModel::statistics() const
{
    ServiceStatistics result = this->counters;
    result.queued = this->waiting.size();
    result.running = this->running.size();
    return result;
}

void ServiceModel::start(Work work, Instant at)
{
    work.checksum = fingerprint(work.request.body);
    if (work.request.key.empty()) {
        ++this->counters.withoutKey;
    } else {
        ExecutionRecord& record = this->records[work.request.key];
        work.executions = ++record.started;
        ++record.running;
        record.checksum = work.checksum;
        this->newlyStarted.push_back(work.request.key);
    }
    const double mean = toSeconds(this->settings.meanWork) * slowdown(this->settings.behaviour);
    const Duration length = mean > 0 ? fromSeconds(this->random.exponential(mean)) : Duration::zero();
    this->running.emplace(at + length, std::move(work));
}

ServiceAnswer ServiceModel::finish(const Work& work)
{
    if (!work.request.key.empty())
        --this->records[work.request.key].running;
    ServiceAnswer answer { work.call, work.request.key, work.request.path, work.executions, work.checksum };
    const ServiceFaults& faults = this->settings.faults;
    if (this->random.uniform() < faults.loseAnswers) {
        ++this->counters.answersLost;
        answer.fate = AnswerFate::Lost;
    } else if (this->random.uniform() < faults.late) {
        answer.delay = faults.lateDelay;
    }
    return answer;
}

} // namespace teaselshore
