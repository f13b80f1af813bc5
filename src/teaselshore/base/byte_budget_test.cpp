#include "teaselshore/base/byte_budget.hpp"

#include <numeric>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace teaselshore {
namespace {

    std::size_t sumOf(const std::vector<ByteBudget::Reservation>& reservations)
    {
        return std::accumulate(reservations.begin(), reservations.end(), std::size_t { 0 },
            [](std::size_t sum, const auto& reservation) { return sum + reservation.bytes(); });
    }

    // Guards against holders that together keep more than the budget, and against bytes that are never given back:
    // after any order of grants, refusals, moves and ends.
    RC_GTEST_PROP(ByteBudget, GrantsWhatIsLeftAndLosesNothing, ())
    {
        const std::size_t total = *rc::gen::inRange<std::size_t>(0, 1000);
        const ByteBudget budget(total);
        std::vector<ByteBudget::Reservation> reservations;
        const std::size_t events = *rc::gen::inRange<std::size_t>(0, 200);
        for (std::size_t event = 0; event < events; ++event) {
            const std::size_t kind = *rc::gen::inRange<std::size_t>(0, 4);
            if (kind == 0 || reservations.empty()) {
                reservations.push_back(budget.reservation());
                continue;
            }
            const std::size_t index = *rc::gen::inRange<std::size_t>(0, reservations.size());
            if (kind == 1) {
                const std::size_t other = *rc::gen::inRange<std::size_t>(0, reservations.size());
                reservations[index] = std::exchange(reservations[other], budget.reservation());
            } else if (kind == 2) {
                reservations.erase(reservations.begin() + static_cast<std::ptrdiff_t>(index));
            } else {
                const std::size_t bytes = *rc::gen::inRange<std::size_t>(0, 1200);
                const std::size_t before = reservations[index].bytes();
                const bool fits = sumOf(reservations) - before + bytes <= total;
                RC_ASSERT(reservations[index].resize(bytes) == fits);
                RC_ASSERT(reservations[index].bytes() == (fits ? bytes : before));
            }
            RC_ASSERT(budget.used() == sumOf(reservations));
            RC_ASSERT(budget.used() <= total);
        }
        reservations.clear();
        RC_ASSERT(budget.used() == 0U);
    }

    // Guards against a size near the largest number that wraps around and is granted.
    TEST(ByteBudget, RefusesSizesThatNoBudgetHas)
    {
        const ByteBudget budget(10);
        ByteBudget::Reservation first = budget.reservation();
        ByteBudget::Reservation second = budget.reservation();
        ASSERT_TRUE(first.resize(4));
        EXPECT_FALSE(second.resize(SIZE_MAX));
        EXPECT_FALSE(first.resize(SIZE_MAX));
        EXPECT_TRUE(second.resize(6));
        EXPECT_FALSE(ByteBudget::Reservation().resize(1));
    }

    // Guards against a budget that is used after it was destroyed, by a body that lives longer than its server.
    TEST(ByteBudget, ReservationOutlivesItsBudget)
    {
        ByteBudget::Reservation reservation;
        {
            const ByteBudget budget(10);
            reservation = budget.reservation();
            ASSERT_TRUE(reservation.resize(10));
        }
        EXPECT_FALSE(reservation.resize(11));
        EXPECT_TRUE(reservation.resize(5));
    }

} // namespace
} // namespace teaselshore
