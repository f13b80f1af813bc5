#include "teaselshore/configuration/parse.hpp"

#include <utility>

#include "parse_service.hpp"
#include "yaml_fields.hpp"

namespace teaselshore {

namespace {

    constexpr NumberRange delayMilliseconds { 0, 10'000 };
    constexpr NumberRange money { 0, 1e9 };
    constexpr NumberRange probability { 0, 1 };
    constexpr NumberRange acceleratorRange { 0, 1024 };
    constexpr NumberRange priorityRange { 0, 9 };
    constexpr NumberRange targetMilliseconds { 1, 3'600'000 };
    /// A batch request may wait for up to a week.
    constexpr NumberRange deadlineMilliseconds { 1, 604'800'000 };
    constexpr NumberRange shareRange { 0.001, 1'000'000 };

    /// @brief Reads the sections in an order in which each refers only to earlier ones.
    class ConfigurationReader {
    public:
        Configuration read(const YamlCursor& root)
        {
            YamlFields fields(root);
            fields.text("revision-note", this->result.revisionNote);
            this->readRegions(fields);
            this->readLinks(fields);
            this->readHostClasses(fields);
            this->readPrices(fields);
            this->readCommitment(fields);
            this->readClasses(fields);
            this->readWorkspaces(fields);
            this->result.services = readServices(fields.items("services", Presence::Required), this->names);
            fields.finish();
            return std::move(this->result);
        }

    private:
        void readRegions(YamlFields& fields)
        {
            UniqueValues<Region> regions("region");
            UniqueValues<AvailabilityZone> zones("zone");
            for (const YamlCursor& item : fields.items("regions", Presence::Required)) {
                RegionConfiguration region;
                YamlFields regionFields(item);
                regionFields.name("name", region.name, Presence::Required);
                regions.add(region.name, item);
                for (const YamlCursor& zoneItem : regionFields.items("zones", Presence::Required)) {
                    std::optional<std::string> text = zoneItem.name();
                    if (!text)
                        continue;
                    const AvailabilityZone zone(std::move(*text));
                    zones.add(zone, zoneItem);
                    this->names.zones.insert(zone);
                    region.zones.push_back(zone);
                }
                regionFields.finish();
                this->result.regions.push_back(std::move(region));
            }
        }

        void readLinks(YamlFields& fields)
        {
            const std::optional<YamlCursor> section = fields.find("links");
            if (!section)
                return;
            YamlFields linksFields(*section);
            if (const std::optional<YamlCursor> item = linksFields.find("default")) {
                YamlFields linkFields(*item);
                readLink(linkFields, this->result.defaultLink);
                linkFields.finish();
            }
            UniqueValues<std::pair<AvailabilityZone, AvailabilityZone>> pairs("pair of zones");
            for (const YamlCursor& item : linksFields.items("pairs")) {
                LinkConfiguration link;
                link.link = this->result.defaultLink;
                YamlFields linkFields(item);
                this->readPair(linkFields, link, pairs);
                readLink(linkFields, link.link);
                linkFields.finish();
                this->result.links.push_back(std::move(link));
            }
            linksFields.finish();
        }

        static void readLink(YamlFields& fields, Link& link)
        {
            fields.milliseconds("delay-ms", link.delay, delayMilliseconds);
            fields.number("cost-per-gb", link.costPerGigabyte, money);
        }

        void readPair(YamlFields& fields, LinkConfiguration& link,
            UniqueValues<std::pair<AvailabilityZone, AvailabilityZone>>& pairs)
        {
            const std::vector<YamlCursor> ends = fields.items("between", Presence::Required);
            if (ends.empty())
                return;
            if (ends.size() != 2) {
                fields.find("between")->report("must name two zones");
                return;
            }
            const auto first = readReference(ends[0], this->names.zones, "zone");
            const auto second = readReference(ends[1], this->names.zones, "zone");
            if (!first || !second)
                return;
            if (first == second) {
                ends[1].report("must be another zone than the first");
                return;
            }
            pairs.add(std::minmax(*first, *second), ends[0], fmt::format("{}, {}", *first, *second));
            link.first = *first;
            link.second = *second;
        }

        void readHostClasses(YamlFields& fields)
        {
            UniqueValues<HostClass> unique("host class");
            for (const YamlCursor& item : fields.items("host-classes")) {
                HostClassConfiguration hostClass;
                YamlFields classFields(item);
                classFields.name("name", hostClass.name, Presence::Required);
                unique.add(hostClass.name, item);
                classFields.integer("accelerators", hostClass.accelerators, acceleratorRange);
                classFields.finish();
                this->names.hostClasses.insert(hostClass.name);
                this->result.hostClasses.push_back(std::move(hostClass));
            }
        }

        void readPrices(YamlFields& fields)
        {
            UniqueValues<std::pair<AvailabilityZone, HostClass>> unique("price");
            for (const YamlCursor& item : fields.items("prices")) {
                PriceConfiguration price;
                YamlFields priceFields(item);
                priceFields.reference("zone", price.zone, this->names.zones, "zone", Presence::Required);
                priceFields.reference(
                    "class", price.hostClass, this->names.hostClasses, "host class", Presence::Required);
                if (!price.zone.empty() && !price.hostClass.empty())
                    unique.add(
                        { price.zone, price.hostClass }, item, fmt::format("{}, {}", price.zone, price.hostClass));
                priceFields.number("reclaimable", price.reclaimablePerHour, money, Presence::Required);
                priceFields.number("on-demand", price.onDemandPerHour, money, Presence::Required);
                priceFields.number("reclaim-risk-per-hour", price.reclaimRiskPerHour, probability);
                priceFields.finish();
                this->result.prices.push_back(std::move(price));
            }
        }

        void readCommitment(YamlFields& fields)
        {
            const std::optional<YamlCursor> section = fields.find("commitment");
            if (!section)
                return;
            YamlFields commitmentFields(*section);
            commitmentFields.number("hourly", this->result.commitmentPerHour, money, Presence::Required);
            commitmentFields.finish();
        }

        void readClasses(YamlFields& fields)
        {
            UniqueValues<ClassName> unique("class");
            for (const YamlCursor& item : fields.items("classes", Presence::Required)) {
                ClassConfiguration latencyClass;
                YamlFields classFields(item);
                classFields.name("name", latencyClass.name, Presence::Required);
                unique.add(latencyClass.name, item);
                classFields.integer("priority", latencyClass.priority, priorityRange, Presence::Required);
                readTarget(classFields, "first-token-ms", latencyClass.firstTokenTarget);
                readTarget(classFields, "between-tokens-ms", latencyClass.betweenTokensTarget);
                classFields.milliseconds("deadline-ms", latencyClass.deadline, deadlineMilliseconds);
                if (latencyClass.firstTokenTarget > latencyClass.deadline)
                    item.report("first-token-ms must not be above deadline-ms");
                classFields.finish();
                this->names.classes.insert(latencyClass.name);
                this->result.classes.push_back(std::move(latencyClass));
            }
        }

        static void readTarget(YamlFields& fields, std::string_view key, std::optional<Duration>& target)
        {
            Duration value {};
            fields.milliseconds(key, value, targetMilliseconds);
            if (value > Duration::zero())
                target = value;
        }

        void readWorkspaces(YamlFields& fields)
        {
            UniqueValues<WorkspaceName> unique("workspace");
            for (const YamlCursor& item : fields.items("workspaces", Presence::Required)) {
                WorkspaceConfiguration workspace;
                YamlFields workspaceFields(item);
                workspaceFields.name("name", workspace.name, Presence::Required);
                unique.add(workspace.name, item);
                workspaceFields.number("share", workspace.share, shareRange);
                workspaceFields.finish();
                this->result.workspaces.push_back(std::move(workspace));
            }
        }

        Configuration result;
        DeclaredNames names;
    };

} // namespace

std::optional<Configuration> parseConfiguration(std::string_view text, std::vector<ConfigurationProblem>& problems)
{
    ProblemList list;
    std::optional<Configuration> configuration;
    if (const std::optional<YamlNode> root = parseYaml(text, maxConfigurationBytes, list))
        configuration = ConfigurationReader().read(YamlCursor(*root, "", list));
    if (list.empty())
        return configuration;
    list.appendTo(problems);
    return std::nullopt;
}

} // namespace teaselshore
