#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "teaselshore/base/name.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/emulators/cache_events.hpp"
#include "teaselshore/emulators/engine_control.hpp"
#include "teaselshore/emulators/engine_settings.hpp"
#include "teaselshore/emulators/generated_text.hpp"
#include "teaselshore/emulators/prefix_cache.hpp"

namespace teaselshore {

/// @brief Identifies one request inside one engine; chosen by the user of EngineModel and never used again.
using SequenceId = std::uint64_t;

/// @brief Request for generated text.
struct EngineRequest {
    RequestId id;
    std::uint32_t attempt = 0;
    std::string path;
    std::string model;
    std::string prompt;
    std::uint64_t maxTokens = 16;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Tokens that the caller already has; generation goes on with this index.
    std::uint64_t resumeFrom = 0;

    auto operator<=>(const EngineRequest&) const = default;
};

/// @brief Reason why a request was not taken.
enum class EngineRefusal {
    QueueFull,
    Draining,
    ModelNotLoaded,
    VersionFault,
};

/// @brief Returns whether the refusal guarantees that nothing ran.
constexpr bool guaranteesNotRun(EngineRefusal refusal) { return refusal != EngineRefusal::VersionFault; }

/// @brief New tokens [first, first + count) of a sequence.
struct TokensGenerated {
    SequenceId sequence = 0;
    std::uint64_t first = 0;
    std::uint64_t count = 0;

    auto operator<=>(const TokensGenerated&) const = default;
};

/// @brief All tokens of a sequence were generated.
struct SequenceFinished {
    SequenceId sequence = 0;
    std::uint64_t cachedTokens = 0;

    auto operator<=>(const SequenceFinished&) const = default;
};

/// @brief The process must exit at once without closing anything in order.
struct EngineCrashed {
    std::string reason;

    auto operator<=>(const EngineCrashed&) const = default;
};

using EngineEvent = std::variant<TokensGenerated, SequenceFinished, EngineCrashed>;

/// @brief Load of an engine at one time.
struct EngineLoad {
    std::uint64_t queued = 0;
    std::uint64_t running = 0;
    std::uint64_t cachedBlocks = 0;
    std::uint64_t generatedTokens = 0;

    auto operator<=>(const EngineLoad&) const = default;
};

/// @brief Load as reported: out of date by age.
struct EngineLoadReport {
    EngineLoad load;
    Duration age {};

    auto operator<=>(const EngineLoadReport&) const = default;
};

/// @brief Exported KV cache of a request.
struct KvState {
    RequestId id;
    PromptKey key = 0;
    /// Generated tokens that it covers, beside the whole prompt.
    std::uint64_t tokens = 0;

    auto operator<=>(const KvState&) const = default;
};

/// @brief Counters of an engine.
struct EngineStatistics {
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    std::uint64_t versionFaults = 0;
    std::uint64_t finished = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t preempted = 0;
    std::uint64_t resumed = 0;
    std::uint64_t kvImported = 0;
    std::uint64_t generatedTokens = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedPromptTokens = 0;
    /// Prompt and output tokens computed a second time after a resume or a preemption.
    std::uint64_t recomputedTokens = 0;

    auto operator<=>(const EngineStatistics&) const = default;
};

/// @brief Model of a model engine: continuous batching, priorities, prefix cache, resume, KV transfer and faults.
///
/// The batch advances in steps. A step computes parts of prompts and adds one token to each sequence whose prompt is
/// complete; its time grows with both. Pure: no I/O; not thread-safe. Methods must be called with non-decreasing times.
class EngineModel {
public:
    EngineModel(EngineSettings settings, std::uint64_t seed, Instant now);

    /// @brief Queues a request; returns the reason if it is not taken.
    std::optional<EngineRefusal> onRequest(SequenceId sequence, EngineRequest request, Instant now);

    /// @brief Drops a sequence. Returns false if it is not queued or running.
    bool onCancel(SequenceId sequence, Instant now);

    /// @brief Returns the queued and running sequences of a request.
    std::vector<SequenceId> sequencesOf(const RequestId& id) const;

    /// @brief Runs all steps that end by now.
    std::vector<EngineEvent> onTick(Instant now);

    /// @brief Returns the end of the current step; nothing if there is no work.
    std::optional<Instant> nextTick() const;

    /// @brief Returns the key of the text that a request gets. An empty model name means the loaded model.
    PromptKey keyOf(const EngineRequest& request) const;

    /// @brief Returns the KV cache of a running request; nothing if it is not running.
    std::optional<KvState> exportKv(const RequestId& id) const;

    /// @brief Keeps a KV cache for the next resume of its request.
    void importKv(const KvState& state);

    ControlResult onControl(const ControlCommand& command, Instant now);

    void setBehaviour(VersionBehaviour behaviour, Instant now);

    /// @brief Makes the engine crash after this many more generated tokens.
    void crashAfterTokens(std::uint64_t tokens) { this->tokensUntilCrash = tokens; }

    EngineLoad load() const;
    EngineLoadReport loadReport(Instant now) const;
    std::vector<CacheEvent> cacheEventsAfter(std::uint64_t after, std::size_t limit, Instant now) const;
    const EngineControl& control() const { return this->controlState; }
    const EngineSettings& engineSettings() const { return this->settings; }
    const EngineStatistics& statistics() const { return this->counters; }

private:
    struct Sequence {
        SequenceId sequence = 0;
        EngineRequest request;
        PromptKey key = 0;
        std::vector<Fingerprint> blocks;
        std::uint64_t order = 0;
        /// Index of the next token.
        std::uint64_t next = 0;
        /// Index of the next token that onTick() reports.
        std::uint64_t reported = 0;
        std::uint64_t pendingPrefill = 0;
        std::uint64_t cachedTokens = 0;
        bool prefilled = false;
        bool startedBefore = false;
    };
    using QueuePosition = std::pair<std::uint32_t, std::uint64_t>;
    struct LoadSample {
        Instant at;
        EngineLoad load;
    };

    void startStep(Instant at);
    void endStep(std::vector<EngineEvent>& events, Instant at);
    void admit(Instant at);
    bool preemptFor(std::uint32_t priority);
    void beginPrefill(Sequence& sequence);
    bool emitToken(Sequence& sequence, std::vector<EngineEvent>& events);
    void report(Sequence& sequence, std::vector<EngineEvent>& events) const;
    void finishPrefill(Sequence& sequence, Instant at);
    void sampleLoad(Instant at);

    EngineSettings settings;
    EngineControl controlState;
    PrefixCache cache;
    CacheEventLog cacheLog;
    EngineStatistics counters;
    Instant behaviourSince;
    std::uint64_t requestsSinceBehaviour = 0;
    std::map<QueuePosition, Sequence> waiting;
    std::vector<Sequence> running;
    std::uint64_t lastOrder = 0;
    std::optional<Instant> stepEnd;
    std::map<RequestId, KvState> importedKv;
    std::optional<std::uint64_t> tokensUntilCrash;
    std::deque<LoadSample> samples;
};

} // namespace teaselshore
