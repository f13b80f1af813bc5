#pragma once

#include <map>
#include <string>
#include <variant>

#include "teaselshore/journal/object_api.hpp"

namespace teaselshore::test {

/// @brief In-memory object API.
class FakeStore {
public:
    ObjectResult apply(const ObjectCommand& command)
    {
        return std::visit([this](const auto& call) { return this->run(call); }, command);
    }

    std::size_t size() const { return this->objects.size(); }

private:
    struct Object {
        std::string value;
        ObjectVersion version = 0;
    };

    static ObjectResult refused(ObjectCallId id, ObjectOutcome outcome, ObjectVersion version = 0)
    {
        return { id, outcome, {}, version, {} };
    }

    ObjectResult run(const ObjectCreate& call)
    {
        const auto [object, added] = this->objects.try_emplace(call.key);
        if (!added)
            return refused(call.id, ObjectOutcome::Conflict, object->second.version);
        object->second = { call.value, ++this->versions };
        return { call.id, ObjectOutcome::Ok, {}, this->versions, {} };
    }

    ObjectResult run(const ObjectUpdate& call)
    {
        const auto object = this->objects.find(call.key);
        if (object == this->objects.end())
            return refused(call.id, ObjectOutcome::NotFound);
        if (object->second.version != call.expected)
            return refused(call.id, ObjectOutcome::Conflict, object->second.version);
        object->second = { call.value, ++this->versions };
        return { call.id, ObjectOutcome::Ok, {}, this->versions, {} };
    }

    ObjectResult run(const ObjectRead& call)
    {
        const auto object = this->objects.find(call.key);
        if (object == this->objects.end())
            return refused(call.id, ObjectOutcome::NotFound);
        return { call.id, ObjectOutcome::Ok, object->second.value, object->second.version, {} };
    }

    ObjectResult run(const ObjectList& call)
    {
        ObjectResult result { call.id, ObjectOutcome::Ok, {}, 0, {} };
        for (auto object = this->objects.lower_bound(call.prefix);
             object != this->objects.end() && object->first.starts_with(call.prefix); ++object)
            result.entries.push_back({ object->first, object->second.version });
        return result;
    }

    ObjectResult run(const ObjectDelete& call)
    {
        const auto object = this->objects.find(call.key);
        if (object == this->objects.end())
            return refused(call.id, ObjectOutcome::NotFound);
        if (call.expected && object->second.version != *call.expected)
            return refused(call.id, ObjectOutcome::Conflict, object->second.version);
        this->objects.erase(object);
        return { call.id, ObjectOutcome::Ok, {}, 0, {} };
    }

    std::map<std::string, Object> objects;
    ObjectVersion versions = 0;
};

} // namespace teaselshore::test
