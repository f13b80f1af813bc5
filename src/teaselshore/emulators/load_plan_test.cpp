#include "teaselshore/emulators/load_plan.hpp"

#include <map>
#include <set>

#include <gtest/gtest.h>

#include "teaselshore/emulators/chat_format.hpp"

namespace teaselshore {
namespace {

    LoadSettings settings()
    {
        LoadSettings result;
        result.mix = { .questions = 50, .plans = 5, .orders = 20, .statuses = 25 };
        result.length = std::chrono::seconds(100);
        result.entries = 9;
        result.workspaces = { { WorkspaceName("large"), 9 }, { WorkspaceName("small"), 1 } };
        result.runId = "run";
        return result;
    }

    // Guards against a plan that cannot be repeated, repeats keys, or does not follow the set mix.
    TEST(LoadPlanner, PlansTheSetMixReproducibly)
    {
        LoadPlanner planner(settings(), 5);
        LoadPlanner same(settings(), 5);
        std::map<RequestKind, double> kinds;
        std::map<WorkspaceName, double> workspaces;
        std::set<IdempotencyKey> keys;
        std::set<std::size_t> entries;
        double duplicates = 0;
        Duration last {};
        while (const auto planned = planner.next()) {
            EXPECT_EQ(planned->request, same.next()->request);
            EXPECT_GE(planned->at, last);
            last = planned->at;
            kinds[planned->kind] += 1;
            workspaces[planned->workspace] += 1;
            entries.insert(planned->entry);
            duplicates += planned->duplicate ? 1 : 0;
            EXPECT_TRUE(planned->key.empty() || keys.insert(planned->key).second);
        }
        EXPECT_NEAR(kinds[RequestKind::Question], 5000, 300);
        EXPECT_NEAR(kinds[RequestKind::Plan], 500, 100);
        EXPECT_NEAR(kinds[RequestKind::Order], 2000, 200);
        EXPECT_NEAR(duplicates, 200, 60);
        EXPECT_NEAR(workspaces[WorkspaceName("small")], 1000, 150);
        EXPECT_EQ(entries.size(), 9u);
    }

    // Guards against a checker that expects another text than the engine generates for the same request.
    TEST(LoadPlanner, ExpectsTheTextThatTheEngineGenerates)
    {
        LoadPlanner planner(settings(), 5);
        std::size_t checked = 0;
        while (const auto planned = planner.next()) {
            if (planned->kind != RequestKind::Question && planned->kind != RequestKind::Plan)
                continue;
            std::string problem;
            const auto request = parseChatRequest(planned->request.body, &problem);
            ASSERT_TRUE(request) << problem;
            ASSERT_EQ(promptKey(request->model, request->prompt), planned->promptKey);
            ASSERT_EQ(request->maxTokens, planned->maxTokens);
            ++checked;
        }
        EXPECT_GT(checked, 1000u);
    }

} // namespace
} // namespace teaselshore
