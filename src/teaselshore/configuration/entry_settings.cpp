#include "teaselshore/configuration/entry_settings.hpp"

#include <fmt/format.h>

#include "problem_list.hpp"
#include "yaml_document.hpp"
#include "yaml_fields.hpp"

namespace teaselshore {

namespace {

    constexpr std::size_t maxSettingsBytes = 100'000;
    constexpr std::size_t maxTextBytes = 256;
    constexpr NumberRange rateRange { 0.1, 1e6 };
    constexpr NumberRange ratioRange { 0, 10 };
    constexpr NumberRange amountRange { 0, 1e12 };
    constexpr NumberRange megabytesRange { 1, 1e6 };
    constexpr std::size_t megabyte = std::size_t { 1024 } * 1024;
    constexpr NumberRange millisecondsRange { 1, 3'600'000 };

    class EntrySettingsReader {
    public:
        EntrySettings read(const YamlCursor& root)
        {
            YamlFields fields(root);
            Name<struct NodeNameTag> node;
            fields.name("node", node, Presence::Required);
            this->result.node = node.value();
            fields.name("zone", this->result.zone, Presence::Required);
            this->readZones(fields);
            this->readAddresses(fields);
            this->readLogLevel(fields);
            this->readMemory(fields);
            this->readRates(fields);
            this->readTimes(fields);
            fields.boolean("evacuations", this->result.evacuations);
            fields.boolean("admission", this->result.admission);
            fields.boolean("gather-long-prompts", this->result.gatherLongPrompts);
            fields.finish();
            return std::move(this->result);
        }

    private:
        void readZones(YamlFields& fields)
        {
            for (const YamlCursor& item : fields.items("zones")) {
                if (std::optional<std::string> zone = item.name())
                    this->result.zones.push_back(AvailabilityZone(std::move(*zone)));
            }
        }

        void readAddresses(YamlFields& fields)
        {
            this->address(fields, "callers", this->result.callers);
            this->address(fields, "readiness", this->result.readiness);
            this->address(fields, "admin", this->result.admin);
            this->address(fields, "platform", this->result.platform);
            SocketAddress peers;
            if (this->address(fields, "peers", peers, Presence::Optional))
                this->result.peers = peers;
            SocketAddress relays;
            if (this->address(fields, "relays", relays, Presence::Optional))
                this->result.relays = relays;
            SocketAddress cloud;
            if (this->address(fields, "cloud", cloud, Presence::Optional))
                this->result.cloud = cloud;
        }

        /// Returns whether the field is present and valid.
        bool address(
            YamlFields& fields, std::string_view key, SocketAddress& target, Presence presence = Presence::Required)
        {
            const std::optional<YamlCursor> field = fields.find(key, presence);
            const std::optional<std::string> text = field ? field->text(maxTextBytes) : std::nullopt;
            if (!text)
                return false;
            const std::optional<SocketAddress> parsed = parseSocketAddress(*text);
            if (!parsed) {
                field->report(
                    fmt::format("must be an IPv4 address and port such as '127.0.0.1:20000', is {}", quoted(*text)));
                return false;
            }
            target = *parsed;
            return true;
        }

        void readLogLevel(YamlFields& fields)
        {
            std::string text;
            fields.text("log-level", text);
            if (text.empty())
                return;
            if (const std::optional<LogLevel> level = parseLogLevel(text))
                this->result.logLevel = *level;
            else
                fields.cursor().report(
                    fmt::format("log-level must be debug, info, warning or error, is {}", quoted(text)));
        }

        void readMemory(YamlFields& fields)
        {
            double megabytes = 0;
            fields.number("memory-mb", megabytes, megabytesRange);
            if (megabytes > 0)
                this->result.memoryBytes = static_cast<std::size_t>(megabytes * megabyte);
        }

        void readRates(YamlFields& fields)
        {
            this->section(fields, "platform-rates", [this](YamlFields& rates) {
                rates.number("writes-per-second", this->result.platformRates.writesPerSecond, rateRange);
                rates.number("reads-per-second", this->result.platformRates.readsPerSecond, rateRange);
            });
            this->section(fields, "retries", [this](YamlFields& retries) {
                retries.number("ratio", this->result.retries.ratio, ratioRange);
                retries.number("floor", this->result.retries.floor, amountRange);
                this->seconds(retries, "window-s", this->result.retries.window);
            });
            this->section(fields, "quota", [this](YamlFields& quota) {
                this->seconds(quota, "window-s", this->result.quota.window);
                quota.number("excess", this->result.quota.excess, ratioRange);
                quota.number("slack", this->result.quota.slack, amountRange);
            });
        }

        void readTimes(YamlFields& fields)
        {
            this->seconds(fields, "stop-grace-s", this->result.stopGrace);
            fields.milliseconds("recovery-ms", this->result.recoveryTime, millisecondsRange);
            fields.milliseconds("upstream-renewal-ms", this->result.upstreamRenewal, millisecondsRange);
            fields.milliseconds("lease-ms", this->result.leaseLength, millisecondsRange);
            this->seconds(fields, "usage-window-s", this->result.usageWindow);
            this->seconds(fields, "usage-due-s", this->result.usageDue);
        }

        template <typename Read> void section(YamlFields& fields, std::string_view key, Read read)
        {
            const std::optional<YamlCursor> field = fields.find(key);
            if (!field)
                return;
            YamlFields sectionFields(*field);
            read(sectionFields);
            sectionFields.finish();
        }

        void seconds(YamlFields& fields, std::string_view key, Duration& target)
        {
            double value = toSeconds(target);
            fields.number(key, value, NumberRange { 0.1, 3600 });
            target = fromSeconds(value);
        }

        EntrySettings result;
    };

} // namespace

std::optional<EntrySettings> parseEntrySettings(std::string_view text, std::vector<ConfigurationProblem>& problems)
{
    ProblemList list;
    std::optional<EntrySettings> settings;
    if (const std::optional<YamlNode> root = parseYaml(text, maxSettingsBytes, list))
        settings = EntrySettingsReader().read(YamlCursor(*root, "", list));
    if (list.empty())
        return settings;
    list.appendTo(problems);
    return std::nullopt;
}

} // namespace teaselshore
