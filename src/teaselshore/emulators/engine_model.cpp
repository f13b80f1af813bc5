#include "teaselshore/emulators/engine_model.hpp"

#include <algorithm>
#include <utility>

namespace teaselshore {

namespace {

    /// Steps that one tick runs at most. What is left is dropped from the schedule, so that an overloaded emulator
    /// slows down instead of falling behind without bound.
    constexpr std::size_t maxStepsPerTick = 256;

    Duration scaled(Duration length, double factor)
    {
        return std::max(
            Duration(1), Duration(static_cast<Duration::rep>(static_cast<double>(length.count()) * factor)));
    }

} // namespace

EngineModel::EngineModel(EngineSettings settings, std::uint64_t seed, Instant now)
    : settings(std::move(settings))
    , controlState(this->settings.model, this->settings.version, this->settings.checksFencing, this->settings.loadTime)
    , cache(this->settings.cacheBlocks)
    , cacheLog(this->settings.cacheEvents, seed)
    , behaviourSince(now)
{
    this->sampleLoad(now);
}

std::optional<EngineRefusal> EngineModel::onRequest(SequenceId sequence, EngineRequest request, Instant now)
{
    this->controlState.onTick(now);
    ++this->counters.requests;
    const VersionSituation situation { this->requestsSinceBehaviour++, now - this->behaviourSince,
        this->running.size() + this->waiting.size(), request.path };
    std::optional<EngineRefusal> refusal;
    if (this->controlState.role() == EngineRole::Draining)
        refusal = EngineRefusal::Draining;
    else if (!this->controlState.serves(request.model))
        refusal = EngineRefusal::ModelNotLoaded;
    else if (this->waiting.size() >= this->settings.maxQueued)
        refusal = EngineRefusal::QueueFull;
    else if (failsRequest(this->settings.behaviour, situation))
        refusal = EngineRefusal::VersionFault;
    if (refusal) {
        ++(*refusal == EngineRefusal::VersionFault ? this->counters.versionFaults : this->counters.refused);
        return refusal;
    }

    Sequence entry;
    entry.sequence = sequence;
    const std::string& model = request.model.empty() ? this->controlState.model() : request.model;
    entry.key = this->keyOf(request);
    entry.blocks = promptBlocks(model, request.prompt);
    entry.order = ++this->lastOrder;
    entry.next = std::min(request.resumeFrom, request.maxTokens);
    entry.reported = entry.next;
    entry.startedBefore = request.resumeFrom > 0;
    this->counters.resumed += entry.startedBefore ? 1 : 0;
    entry.request = std::move(request);
    const QueuePosition position { entry.request.priority, entry.order };
    this->waiting.emplace(position, std::move(entry));
    if (!this->stepEnd)
        this->startStep(now);
    this->sampleLoad(now);
    return std::nullopt;
}

bool EngineModel::onCancel(SequenceId sequence, Instant now)
{
    const auto isIt = [&](const Sequence& candidate) { return candidate.sequence == sequence; };
    std::size_t removed = std::erase_if(this->running, isIt);
    removed += std::erase_if(this->waiting, [&](const auto& item) { return isIt(item.second); });
    if (removed == 0)
        return false;
    ++this->counters.cancelled;
    if (this->running.empty() && this->waiting.empty())
        this->stepEnd.reset();
    this->sampleLoad(now);
    return true;
}

std::vector<SequenceId> EngineModel::sequencesOf(const RequestId& id) const
{
    std::vector<SequenceId> result;
    for (const Sequence& sequence : this->running) {
        if (sequence.request.id == id)
            result.push_back(sequence.sequence);
    }
    for (const auto& [position, sequence] : this->waiting) {
        if (sequence.request.id == id)
            result.push_back(sequence.sequence);
    }
    return result;
}

std::vector<EngineEvent> EngineModel::onTick(Instant now)
{
    this->controlState.onTick(now);
    std::vector<EngineEvent> events;
    for (std::size_t steps = 0; this->stepEnd && *this->stepEnd <= now; ++steps) {
        const bool isBehind = steps >= maxStepsPerTick;
        const Instant at = isBehind ? now : *this->stepEnd;
        this->endStep(events, at);
        this->startStep(at);
        if (isBehind)
            break;
    }
    for (Sequence& sequence : this->running)
        this->report(sequence, events);
    this->sampleLoad(now);
    return events;
}

std::optional<Instant> EngineModel::nextTick() const { return this->stepEnd; }

PromptKey EngineModel::keyOf(const EngineRequest& request) const
{
    return promptKey(request.model.empty() ? this->controlState.model() : request.model, request.prompt);
}

std::optional<KvState> EngineModel::exportKv(const RequestId& id) const
{
    for (const Sequence& sequence : this->running) {
        if (sequence.request.id == id && sequence.prefilled)
            return KvState { id, sequence.key, sequence.next };
    }
    return std::nullopt;
}

void EngineModel::importKv(const KvState& state)
{
    ++this->counters.kvImported;
    this->importedKv.insert_or_assign(state.id, state);
}

ControlResult EngineModel::onControl(const ControlCommand& command, Instant now)
{
    return this->controlState.onCommand(command, now);
}

void EngineModel::setBehaviour(VersionBehaviour behaviour, Instant now)
{
    this->settings.behaviour = std::move(behaviour);
    this->behaviourSince = now;
    this->requestsSinceBehaviour = 0;
}

EngineLoad EngineModel::load() const
{
    return { this->waiting.size(), this->running.size(), this->cache.size(), this->counters.generatedTokens };
}

EngineLoadReport EngineModel::loadReport(Instant now) const
{
    const Instant wanted = now - this->settings.loadReportLag;
    const LoadSample* sample = &this->samples.front();
    for (const LoadSample& candidate : this->samples) {
        if (candidate.at > wanted)
            break;
        sample = &candidate;
    }
    return { sample->load, this->settings.loadReportLag };
}

std::vector<CacheEvent> EngineModel::cacheEventsAfter(std::uint64_t after, std::size_t limit, Instant now) const
{
    return this->cacheLog.eventsAfter(after, limit, now);
}

void EngineModel::startStep(Instant at)
{
    this->admit(at);
    if (this->running.empty()) {
        this->stepEnd.reset();
        return;
    }
    std::uint64_t budget = this->settings.step.prefillTokensPerStep;
    std::uint64_t prefill = 0;
    for (Sequence& sequence : this->running) {
        const std::uint64_t part = std::min(sequence.pendingPrefill, budget);
        sequence.pendingPrefill -= part;
        budget -= part;
        prefill += part;
    }
    const StepCost& cost = this->settings.step;
    const Duration length = cost.base + cost.perSequence * static_cast<Duration::rep>(this->running.size())
        + cost.perPrefillToken * static_cast<Duration::rep>(prefill);
    this->stepEnd = at + scaled(length, slowdown(this->settings.behaviour) / this->settings.speed);
}

void EngineModel::endStep(std::vector<EngineEvent>& events, Instant at)
{
    std::vector<Sequence> remaining;
    remaining.reserve(this->running.size());
    for (Sequence& sequence : this->running) {
        if (sequence.pendingPrefill > 0) {
            remaining.push_back(std::move(sequence));
            continue;
        }
        if (!sequence.prefilled)
            this->finishPrefill(sequence, at);
        if (!this->emitToken(sequence, events)) {
            remaining.push_back(std::move(sequence));
            continue;
        }
        this->report(sequence, events);
        events.emplace_back(SequenceFinished { sequence.sequence, sequence.cachedTokens });
        ++this->counters.finished;
    }
    this->running = std::move(remaining);
}

void EngineModel::admit(Instant /*at*/)
{
    while (!this->waiting.empty()) {
        const auto first = this->waiting.begin();
        if (this->running.size() >= this->settings.maxRunning && !this->preemptFor(first->first.first))
            return;
        Sequence sequence = std::move(first->second);
        this->waiting.erase(first);
        this->beginPrefill(sequence);
        this->running.push_back(std::move(sequence));
    }
}

bool EngineModel::preemptFor(std::uint32_t priority)
{
    // The least urgent sequence gives way; among equals the one that started last.
    const auto victim
        = std::max_element(this->running.begin(), this->running.end(), [](const Sequence& left, const Sequence& right) {
              return std::pair(left.request.priority, left.order) < std::pair(right.request.priority, right.order);
          });
    if (victim == this->running.end())
        return false;
    const std::uint32_t victimPriority = victim->request.priority;
    if (victimPriority <= priority || victimPriority < this->settings.preemptiblePriority)
        return false;
    ++this->counters.preempted;
    victim->startedBefore = true;
    victim->prefilled = false;
    const QueuePosition position { victimPriority, victim->order };
    this->waiting.emplace(position, std::move(*victim));
    this->running.erase(victim);
    return true;
}

void EngineModel::beginPrefill(Sequence& sequence)
{
    const std::uint64_t prompt = promptTokens(sequence.request.prompt);
    const std::uint64_t cached = std::min<std::uint64_t>(this->cache.lookup(sequence.blocks) * tokensPerBlock, prompt);
    sequence.cachedTokens = cached;
    sequence.pendingPrefill = prompt - cached + sequence.next;
    const auto imported = this->importedKv.find(sequence.request.id);
    if (imported != this->importedKv.end() && imported->second.key == sequence.key) {
        const std::uint64_t covered = std::min(sequence.next, imported->second.tokens);
        sequence.pendingPrefill = sequence.next - covered;
        this->importedKv.erase(imported);
    }
    if (sequence.startedBefore)
        this->counters.recomputedTokens += sequence.pendingPrefill;
    else
        this->counters.cachedPromptTokens += cached;
    if (!sequence.startedBefore)
        this->counters.promptTokens += prompt;
}

bool EngineModel::emitToken(Sequence& sequence, std::vector<EngineEvent>& events)
{
    const std::string& marker = this->settings.poisonMarker;
    if (!marker.empty() && sequence.request.prompt.find(marker) != std::string::npos)
        events.emplace_back(EngineCrashed { "poison prompt" });
    if (sequence.next < sequence.request.maxTokens) {
        ++sequence.next;
        ++this->counters.generatedTokens;
        if (this->tokensUntilCrash && (*this->tokensUntilCrash)-- <= 1) {
            this->tokensUntilCrash.reset();
            this->report(sequence, events);
            events.emplace_back(EngineCrashed { "crash requested" });
        }
    }
    return sequence.next >= sequence.request.maxTokens;
}

void EngineModel::report(Sequence& sequence, std::vector<EngineEvent>& events) const
{
    if (sequence.reported == sequence.next)
        return;
    events.emplace_back(TokensGenerated { sequence.sequence, sequence.reported, sequence.next - sequence.reported });
    sequence.reported = sequence.next;
}

void EngineModel::finishPrefill(Sequence& sequence, Instant at)
{
    sequence.prefilled = true;
    PrefixCacheChange change = this->cache.insert(sequence.blocks);
    this->cacheLog.add(CacheEvent::Kind::Stored, std::move(change.stored), at);
    this->cacheLog.add(CacheEvent::Kind::Evicted, std::move(change.evicted), at);
}

void EngineModel::sampleLoad(Instant at)
{
    // One sample per millisecond is enough for reports that are hundreds of milliseconds old.
    constexpr Duration interval = std::chrono::milliseconds(1);
    if (!this->samples.empty() && at - this->samples.back().at < interval) {
        this->samples.back().load = this->load();
        return;
    }
    this->samples.push_back({ at, this->load() });
    while (this->samples.size() > 1 && this->samples[1].at <= at - this->settings.loadReportLag)
        this->samples.pop_front();
}

} // namespace teaselshore
