#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "teaselshore/base/fingerprint.hpp"
#include "teaselshore/base/random.hpp"
#include "teaselshore/base/time.hpp"
#include "teaselshore/membership/member.hpp"

namespace teaselshore {

/// @brief Version of the operator configuration: the object version of its key. 0 means no configuration.
using ConfigurationVersion = std::uint64_t;

/// @brief Announces the highest version that the sender accepted.
struct ConfigurationDigest {
    ConfigurationVersion version = 0;
    Fingerprint textDigest = 0;

    auto operator<=>(const ConfigurationDigest&) const = default;
};

/// @brief Requests a peer's configuration as the difference from the text that the sender holds.
struct ConfigurationRequest {
    /// Version and digest of the sender's text; zero if it has none or requests the complete text.
    ConfigurationVersion version = 0;
    Fingerprint textDigest = 0;
    /// Digests of the chunks of the sender's text; only sent to a peer that no longer remembers this text.
    std::vector<Fingerprint> chunkDigests;

    auto operator<=>(const ConfigurationRequest&) const = default;
};

/// @brief Range of consecutive chunks to copy from the requester's text.
struct CopiedChunks {
    std::uint32_t first = 0;
    std::uint32_t count = 0;

    auto operator<=>(const CopiedChunks&) const = default;
};

/// @brief Part of a transferred text: chunks that the requester already has, or new text.
using ConfigurationPiece = std::variant<CopiedChunks, std::string>;

/// @brief Response to ConfigurationRequest.
struct ConfigurationText {
    ConfigurationVersion version = 0;
    /// Digest of the complete text.
    Fingerprint textDigest = 0;
    /// Digest of the requester's text that copied chunks refer to; 0 if nothing is copied.
    Fingerprint baseDigest = 0;
    /// True if the sender does not remember the requester's text: the request must be repeated with chunk digests.
    bool needsChunks = false;
    std::vector<ConfigurationPiece> pieces;

    auto operator<=>(const ConfigurationText&) const = default;
};

/// @brief Messages between the configuration distributors of two nodes.
using ConfigurationMessage = std::variant<ConfigurationDigest, ConfigurationRequest, ConfigurationText>;

/// @brief Times and limits of configuration distribution.
struct DistributorSettings {
    /// Number of nodes per region that watch the configuration object.
    std::size_t watchersPerRegion = 3;
    /// Number of peers to which a newly adopted version is announced immediately.
    std::size_t pushFanout = 5;
    /// Mean time between digests sent to a random peer.
    Duration digestPeriod = std::chrono::seconds(2);
    /// Time after which a request without a response is abandoned and another peer may be asked.
    Duration requestTimeout = std::chrono::seconds(1);
    /// Number of earlier texts whose chunk digests are kept to compute differences for peers that hold them.
    std::size_t rememberedTexts = 64;

    auto operator<=>(const DistributorSettings&) const = default;
};

struct SendDigest {
    std::string address;
    ConfigurationDigest digest;

    auto operator<=>(const SendDigest&) const = default;
};

struct RequestConfiguration {
    std::string address;
    ConfigurationRequest request;

    auto operator<=>(const RequestConfiguration&) const = default;
};

struct SendConfiguration {
    std::string address;
    ConfigurationText text;

    auto operator<=>(const SendConfiguration&) const = default;
};

/// @brief A higher valid version takes effect on this node.
struct AdoptConfiguration {
    ConfigurationVersion version = 0;
    std::string text;

    auto operator<=>(const AdoptConfiguration&) const = default;
};

/// @brief A version was rejected as invalid; the last valid one stays in effect.
struct ReportInvalid {
    ConfigurationVersion version = 0;
    std::string reason;

    auto operator<=>(const ReportInvalid&) const = default;
};

using ConfigurationCommand
    = std::variant<SendDigest, RequestConfiguration, SendConfiguration, AdoptConfiguration, ReportInvalid>;

/// @brief Returns why a text is invalid, or nullopt if it is valid. Must be a pure function of the text.
using ConfigurationCheck = std::function<std::optional<std::string>(std::string_view text)>;

/// @brief Holds the highest accepted operator configuration of one node and distributes it to peers.
///
/// Only higher versions are adopted. A new version is announced to a few peers, which fetch the difference from the
/// text they hold and announce it in turn. A periodic digest exchange reaches nodes that missed an announcement. Texts
/// are compared by content-defined chunks of a few lines. Not thread-safe.
class ConfigurationDistributor {
public:
    /// @brief Starts without a configuration and without peers.
    ConfigurationDistributor(Member self, DistributorSettings settings, ConfigurationCheck check, RandomSource random);
    ~ConfigurationDistributor();
    ConfigurationDistributor(ConfigurationDistributor&&) noexcept;
    ConfigurationDistributor& operator=(ConfigurationDistributor&&) noexcept;

    /// @brief Handles a version returned by a watch or read of the configuration object.
    std::vector<ConfigurationCommand> onObjectVersion(ConfigurationVersion version, std::string text, Instant now);
    std::vector<ConfigurationCommand> onDigest(
        const std::string& sender, const ConfigurationDigest& digest, Instant now);
    std::vector<ConfigurationCommand> onRequest(
        const std::string& sender, const ConfigurationRequest& request, Instant now);
    std::vector<ConfigurationCommand> onText(const std::string& sender, const ConfigurationText& text, Instant now);
    std::vector<ConfigurationCommand> onTick(Instant now);

    /// @brief Replaces the member list, ignoring members that are not live. Call it after each MemberChanged.
    void onMembers(const std::vector<Member>& members);

    /// @brief Returns whether this node is one of the few in its region that watch the configuration object.
    bool shouldWatch() const;

    /// @brief Returns the version in effect; 0 if there is none.
    ConfigurationVersion version() const;

    /// @brief Returns the text in effect; empty if there is none.
    const std::string& text() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace teaselshore
