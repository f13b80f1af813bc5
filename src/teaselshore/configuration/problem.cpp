#include "teaselshore/configuration/problem.hpp"

#include <fmt/format.h>

#include "teaselshore/base/assert.hpp"

namespace teaselshore {

std::string describe(const ConfigurationProblem& problem)
{
    if (problem.path.empty())
        return fmt::format("{}:{}: {}", problem.line, problem.column, problem.message);
    return fmt::format("{}:{}: {}: {}", problem.line, problem.column, problem.path, problem.message);
}

std::string describeFirst(std::string_view fileName, const std::vector<ConfigurationProblem>& problems)
{
    TEASELSHORE_ASSERT(!problems.empty(), "a file without problems has nothing to describe");
    std::string first = fmt::format("{}:{}", fileName, describe(problems.front()));
    if (problems.size() == 1)
        return first;
    return fmt::format("{} (and {} more)", first, problems.size() - 1);
}

} // namespace teaselshore
