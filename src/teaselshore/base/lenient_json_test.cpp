#include <chrono>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teaselshore/base/json_text.hpp"
#include "teaselshore/base/lenient_json.hpp"

namespace teaselshore {
namespace {

    using nlohmann::json;

    const JsonArrayLayout layout { "items", "at", { "name", "value" }, 1 };

    std::vector<json> elementsOf(const std::string& text)
    {
        std::string reason;
        const auto document = readJsonArray(text, layout, reason);
        std::vector<json> values;
        for (const LenientJson& element : document ? document->elements : std::vector<LenientJson>())
            values.push_back(element.value);
        return values;
    }

    // Guards against values that are replaced though the parser accepts them.
    TEST(LenientJson, SoundTextsAreReadAsTheyAre)
    {
        for (const char* text : { "null", "\"a \\\" [ { \\\\\"", "-1.5e3", "[]", "{}",
                 R"({"a":[1,{"b":"\ud83d\ude00"}],"c":false})", " { \"a\" : 1 } " }) {
            const LenientJson read = readLenientJson(text, 1);
            EXPECT_EQ(read.value, json::parse(text)) << text;
            EXPECT_FALSE(read.isDamaged) << text;
        }
    }

    // Guards against one refused value that makes the whole text unreadable.
    TEST(LenientJson, ReplacesRefusedValues)
    {
        for (const char* odd : { "1e999", "NaN", "-Infinity", "nul", "00", R"("\udc80")", R"("\q")", "\"\x01\"" }) {
            const LenientJson read = readLenientJson(R"({"a":)" + std::string(odd) + R"(,"b":2})", 0);
            EXPECT_EQ(read.value, (json { { "a", nullptr }, { "b", 2 } })) << odd;
            EXPECT_TRUE(read.isDamaged) << odd;
        }
        EXPECT_EQ(readLenientJson("{\"a\":\"x\xff\"}", 0).value["a"], "x\xEF\xBF\xBD");
        const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
        EXPECT_EQ(readLenientJson(R"({"a":{"b":)" + deep + R"(},"c":1})", 0).value["c"], 1);
    }

    // Guards against members that are lost with one that has no end, and against a part of a broken value that passes
    // for the whole.
    TEST(LenientJson, ReadsTheMembersBesideOneThatCannotBeRead)
    {
        EXPECT_EQ(readLenientJson(R"({"a":1,"b":{"\udc80":2},"c":3})", 1).value,
            (json { { "a", 1 }, { "b", nullptr }, { "c", 3 } }));
        for (const char* odd : { R"({"x":1,,})", "[1", "", "}" })
            EXPECT_EQ(readLenientJson(R"({"a":1,"b":)" + std::string(odd) + R"(,"c":3})", 1).value,
                (json { { "a", 1 }, { "b", nullptr } }))
                << odd;
        EXPECT_TRUE(readLenientJson(R"({"a":1,"b":[})", 0).value.is_null());
        EXPECT_TRUE(readLenientJson("", 1).value.is_null());
    }

    // Guards against elements that are joined, split or lost at the end of one that cannot be read.
    TEST(LenientJson, TellsElementsApart)
    {
        const json first { { "name", "a" }, { "value", 1 } };
        const json last { { "name", "c" }, { "value", { { "list", { 1, "]" } } } } };
        for (const char* value : { "", "}", "]", "{", "[", "\"", "\"\\", "}]", "]}", "[[[", "{\"x\":{", "1}],\"at\":[{",
                 "},{", "1 2", ",", ":", "\"a\"\"b", "]]]}}}" }) {
            const std::string odd = R"({"name":"b","value":)" + std::string(value) + "}";
            const std::vector<json> read = elementsOf(
                R"({"items":[)" + first.dump() + " , " + odd + "," + last.dump() + R"(],"more":[1],"at":9})");
            ASSERT_GE(read.size(), 3u) << value;
            EXPECT_EQ(read.front(), first) << value;
            EXPECT_EQ(read.back(), last) << value;
            EXPECT_EQ(read[1].value("name", ""), "b") << value;
        }
        EXPECT_EQ(elementsOf(R"({"items":[],"at":9})").size(), 0u);
    }

    // Guards against a document that passes for an empty one.
    TEST(LenientJson, DocumentsWithoutTheirMembersAreRefused)
    {
        std::string reason;
        for (const char* text : { "", "[]", "{", R"({"items":[{"name":1}]})", R"({"at":9})", R"({"items":7,"at":9})",
                 R"({"items":[{"name":1}],"at")" }) {
            EXPECT_FALSE(readJsonArray(text, layout, reason)) << text;
            EXPECT_FALSE(reason.empty());
        }
    }

    // Guards against bytes that end the process, and against time that grows with their square.
    RC_GTEST_PROP(LenientJson, AnyBytesCanBeRead, ())
    {
        const auto text = *rc::gen::arbitrary<std::string>();
        std::string reason;
        readLenientJson(text, 2);
        readJsonArray(text, layout, reason);
        toJsonText(json(text));
    }

    // Guards against an event loop that stands still while a large unreadable value is read.
    TEST(LenientJson, LargeUnreadableValuesAreReadInLinearTime)
    {
        for (const char* piece :
            { ",{\"name\":[", "{\"name\":[1,", ",{\"name\":\"a\"}", "{\"value\":", "\"", ",{", "[1,", "\\", "]" }) {
            std::string value;
            while (value.size() < 1'000'000)
                value += piece;
            const auto started = std::chrono::steady_clock::now();
            elementsOf(R"({"items":[{"name":"a","value":)" + value + R"(},{"name":"b","value":1}],"at":9})");
            EXPECT_LT(std::chrono::steady_clock::now() - started, std::chrono::seconds(5)) << piece;
        }
    }

} // namespace
} // namespace teaselshore
