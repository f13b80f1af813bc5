#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "teaselshore/base/time.hpp"
#include "teaselshore/http/message.hpp"

namespace teaselshore {

enum class PlatformCallKind {
    ReadObject,
    CreateObject,
    UpdateObject,
    DeleteObject,
    ListObjects,
    WatchObject,
    ReadPrices,
    ReadNotices,
    ReadHosts,
    StartHost,
    StopHost,
    ListKind,
    WatchKind,
    WriteStatus,
    ReportUsage,
    OrderUpstreams,
};
constexpr std::size_t platformCallKinds = 16;

/// @brief Request to the platform, before it is sent.
struct PlatformRequest {
    PlatformCallKind kind = PlatformCallKind::ReadObject;
    HttpRequest request;
    /// Time that the platform may wait before it answers, in addition to the call timeout.
    Duration wait {};
};

/// @brief Object of one kind, as a list or a watch returns it.
struct KindObject {
    std::string name;
    std::uint64_t version = 0;
    bool deleted = false;
    /// What the writer of the object set; null if the object is deleted or cannot be read.
    nlohmann::json spec;
    nlohmann::json status;
};

/// @brief Objects of one kind that a list or a watch returned.
struct KindPage {
    std::vector<KindObject> objects;
    /// Version of the platform up to which the page is complete; a watch goes on from here.
    std::uint64_t at = 0;
    /// A list goes on after the name of its last object.
    bool hasMore = false;
    /// Objects that could not be read as they are. Those whose names are readable are among the objects.
    std::size_t unreadable = 0;
    /// Objects whose names could not be read, so that it is unknown which ones they are.
    std::size_t unnamed = 0;
};

} // namespace teaselshore
