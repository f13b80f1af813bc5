#include "teaselshore/ctl/trace_tree.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace teaselshore {

namespace {

    class Joiner {
    public:
        explicit Joiner(std::vector<TraceSpan> spans)
            : spans(std::move(spans))
        {
            std::stable_sort(this->spans.begin(), this->spans.end(), [](const TraceSpan& a, const TraceSpan& b) {
                return std::tie(a.startMicros, a.spanId) < std::tie(b.startMicros, b.spanId);
            });
            for (std::size_t index = 0; index < this->spans.size(); ++index)
                this->byId.try_emplace(this->spans[index].spanId, index);
        }

        std::vector<TraceLine> join()
        {
            for (const auto& [id, index] : this->byId) {
                if (this->isRoot(this->spans[index]))
                    continue;
                this->children[this->spans[index].parentSpanId].push_back(index);
            }
            for (const TraceSpan& span : this->spans) {
                if (this->isRoot(span))
                    this->addTree(span);
            }
            // What is left hangs on a cycle of parents.
            for (const TraceSpan& span : this->spans)
                this->addTree(span);
            return std::move(this->lines);
        }

    private:
        bool isRoot(const TraceSpan& span) const
        {
            return span.parentSpanId.empty() || !this->byId.contains(span.parentSpanId);
        }

        /// A loop instead of recursion: the depth comes from the replies.
        void addTree(const TraceSpan& root)
        {
            std::vector<std::pair<std::size_t, std::size_t>> pending { { this->byId.at(root.spanId), 0 } };
            while (!pending.empty()) {
                const auto [index, depth] = pending.back();
                pending.pop_back();
                if (std::exchange(this->added[index], true))
                    continue;
                this->lines.push_back({ this->spans[index], depth });
                std::vector<std::size_t> next = this->children[this->spans[index].spanId];
                std::sort(next.rbegin(), next.rend());
                for (const std::size_t child : next)
                    pending.emplace_back(child, depth + 1);
            }
        }

        std::vector<TraceSpan> spans;
        std::map<std::string, std::size_t> byId;
        std::map<std::string, std::vector<std::size_t>> children;
        std::map<std::size_t, bool> added;
        std::vector<TraceLine> lines;
    };

} // namespace

std::vector<TraceLine> joinSpans(const std::vector<TraceSpan>& spans) { return Joiner(spans).join(); }

} // namespace teaselshore
