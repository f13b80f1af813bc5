#include "parse_service.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "teaselshore/configuration/address.hpp"
#include "teaselshore/configuration/wall_time.hpp"

namespace teaselshore {

namespace {

    constexpr std::size_t maxServices = 500;
    constexpr NumberRange capacityRange { 1, 100'000 };
    constexpr std::size_t maxPathBytes = 256;
    constexpr std::string_view requestsPath = "/v1/requests";
    constexpr std::string_view engineKind = "engine";
    constexpr std::string_view plainKind = "plain";

    constexpr std::array<std::string_view, 7> methods { "GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE" };

    /// Safe methods change nothing at the upstream (RFC 9110, section 9.2.1).
    bool isSafeMethod(std::string_view method) { return method == "GET" || method == "HEAD" || method == "OPTIONS"; }

    /// @brief Reads an absolute path; without query, fragment and spaces.
    void readPath(YamlFields& fields, std::string_view key, std::string& target, Presence presence)
    {
        const std::optional<YamlCursor> field = fields.find(key, presence);
        std::optional<std::string> path = field ? field->text(maxPathBytes) : std::nullopt;
        if (!path)
            return;
        if (path->starts_with('/') && path->find_first_of("?# ") == std::string::npos)
            target = std::move(*path);
        else
            field->report(fmt::format("must start with '/' and hold no '?', '#' or space, is {}", quoted(*path)));
    }

    /// @brief Reads the services of one text in order; holds what must be unique over all of them.
    class ServiceReader {
    public:
        ServiceReader(const DeclaredNames& names, std::set<ServiceName> services)
            : names(names)
            , services(std::move(services))
        {
        }

        ServiceConfiguration read(const YamlCursor& item)
        {
            ServiceConfiguration service;
            YamlFields fields(item);
            if (this->readNameAndKind(fields, service))
                readKindFields(fields, service);
            else
                skipKindFields(fields);
            fields.boolean("checks-fencing", service.checksFencing);
            this->readDependencies(fields, service);
            this->readVersions(fields, service);
            this->readUpstreams(fields, service);
            this->readRoutes(fields, service);
            fields.finish();
            return service;
        }

        /// @brief Reports each depends-on entry that closes a cycle.
        void checkCycles(const std::vector<ServiceConfiguration>& all)
        {
            std::map<ServiceName, const ServiceConfiguration*> byName;
            for (const ServiceConfiguration& service : all)
                byName.try_emplace(service.name, &service);
            std::set<ServiceName> finished;
            std::vector<ServiceName> path;
            for (const ServiceConfiguration& service : all)
                this->visit(service, byName, path, finished);
        }

    private:
        /// @brief Returns false if the kind is missing or unknown.
        bool readNameAndKind(YamlFields& fields, ServiceConfiguration& service)
        {
            fields.name("name", service.name, Presence::Required);
            if (const std::optional<YamlCursor> name = fields.find("name"))
                this->serviceNames.add(service.name, *name);

            const std::optional<YamlCursor> kind = fields.find("kind", Presence::Required);
            const std::optional<std::string> text = kind ? kind->name() : std::nullopt;
            if (!text)
                return false;
            if (text == engineKind)
                service.kind = ServiceKind::Engine;
            else if (text != plainKind)
                kind->report(fmt::format("must be 'engine' or 'plain', is {}", quoted(*text)));
            return text == engineKind || text == plainKind;
        }

        /// Without a kind, nothing can be said about the keys that depend on it.
        static void skipKindFields(YamlFields& fields)
        {
            fields.find("model");
            fields.find("outcome-lookup");
        }

        static void readKindFields(YamlFields& fields, ServiceConfiguration& service)
        {
            const bool engine = service.kind == ServiceKind::Engine;
            fields.text("model", service.model, engine ? Presence::Required : Presence::Optional);
            const std::optional<YamlCursor> model = fields.find("model");
            if (model && !engine)
                model->report("only a service of kind 'engine' has a model");
            if (model && engine && service.model.empty())
                model->report("must not be empty");

            readPath(fields, "outcome-lookup", service.outcomeLookup, Presence::Optional);
            const std::optional<YamlCursor> lookup = fields.find("outcome-lookup");
            if (lookup && engine)
                lookup->report("only a service of kind 'plain' has an outcome lookup");
        }

        void readDependencies(YamlFields& fields, ServiceConfiguration& service)
        {
            UniqueValues<ServiceName> unique("dependency");
            for (const YamlCursor& item : fields.items("depends-on")) {
                const std::optional<ServiceName> name = readReference(item, this->services, "service");
                if (!name)
                    continue;
                unique.add(*name, item);
                service.dependsOn.push_back(*name);
                this->dependencies.try_emplace({ service.name, *name }, item);
            }
        }

        void readVersions(YamlFields& fields, ServiceConfiguration& service)
        {
            UniqueValues<VersionName> unique("version");
            bool moves = false;
            for (const YamlCursor& item : fields.items("versions")) {
                VersionConfiguration version;
                YamlFields versionFields(item);
                versionFields.name("name", version.name, Presence::Required);
                unique.add(version.name, item);
                if (const std::optional<YamlCursor> moveBy = versionFields.find("move-by")) {
                    version.moveBy = readMoveBy(*moveBy);
                    if (service.versions.empty())
                        moveBy->report("the first version is the one to move from and has no deadline");
                    else if (std::exchange(moves, true))
                        moveBy->report("only one version of a service can have a deadline at a time");
                }
                versionFields.finish();
                service.versions.push_back(std::move(version));
            }
        }

        static std::optional<WallTime> readMoveBy(const YamlCursor& cursor)
        {
            const std::optional<std::string> text = cursor.text(maxPathBytes);
            if (!text)
                return std::nullopt;
            const std::optional<WallTime> time = parseWallTime(*text);
            if (!time)
                cursor.report(
                    fmt::format("must be a time in UTC such as '2026-12-04T18:00:00Z', is {}", quoted(*text)));
            return time;
        }

        void readUpstreams(YamlFields& fields, ServiceConfiguration& service)
        {
            std::set<VersionName> versions;
            for (const VersionConfiguration& version : service.versions)
                versions.insert(version.name);
            const std::vector<YamlCursor> items = fields.items("upstreams", Presence::Required);
            service.upstreams.reserve(items.size());
            for (const YamlCursor& item : items)
                service.upstreams.push_back(this->readUpstream(item, service, versions));
        }

        UpstreamConfiguration readUpstream(
            const YamlCursor& item, const ServiceConfiguration& service, const std::set<VersionName>& versions)
        {
            const Presence forEngine = service.kind == ServiceKind::Engine ? Presence::Required : Presence::Optional;
            UpstreamConfiguration upstream;
            YamlFields fields(item);
            fields.name("id", upstream.id, Presence::Required);
            this->upstreamIds.add(upstream.id, item);
            fields.reference("zone", upstream.zone, this->names.zones, "zone", Presence::Required);
            this->readAddress(fields, upstream);
            if (versions.empty()) {
                if (const std::optional<YamlCursor> version = fields.find("version"))
                    version->report("the service declares no versions");
            } else {
                fields.reference("version", upstream.version, versions, "version", Presence::Required);
            }
            fields.reference("host-class", upstream.hostClass, this->names.hostClasses, "host class", forEngine);
            fields.integer("capacity", upstream.capacity, capacityRange);
            fields.boolean("reclaimable", upstream.reclaimable);
            fields.finish();
            return upstream;
        }

        void readAddress(YamlFields& fields, UpstreamConfiguration& upstream)
        {
            const std::optional<YamlCursor> field = fields.find("address", Presence::Required);
            const std::optional<std::string> text = field ? field->text(maxPathBytes) : std::nullopt;
            if (!text)
                return;
            const std::optional<SocketAddress> address = parseSocketAddress(*text);
            if (!address) {
                field->report(
                    fmt::format("must be an IPv4 address and port such as '127.0.0.1:9001', is {}", quoted(*text)));
                return;
            }
            this->addresses.add(*address, *field, *text);
            upstream.address = formatSocketAddress(*address);
        }

        void readRoutes(YamlFields& fields, ServiceConfiguration& service)
        {
            UniqueValues<RouteName> routeNames("route");
            for (const YamlCursor& item : fields.items("routes", Presence::Required)) {
                RouteConfiguration route;
                YamlFields routeFields(item);
                routeFields.name("name", route.name, Presence::Required);
                routeNames.add(route.name, item);
                readPath(routeFields, "path", route.pathPrefix, Presence::Required);
                if (readMethod(routeFields, route))
                    this->checkPath(item, route);
                routeFields.reference("class", route.latencyClass, this->names.classes, "class", Presence::Required);
                readIdempotent(routeFields, service, route);
                routeFields.finish();
                service.routes.push_back(std::move(route));
            }
        }

        /// @brief Returns false if a method is given and has a problem.
        static bool readMethod(YamlFields& fields, RouteConfiguration& route)
        {
            const std::optional<YamlCursor> field = fields.find("method");
            if (!field)
                return true;
            const std::optional<std::string> text = field->text(maxPathBytes);
            if (!text)
                return false;
            if (std::find(methods.begin(), methods.end(), *text) == methods.end()) {
                field->report(fmt::format("must be one of {}, is {}", fmt::join(methods, ", "), quoted(*text)));
                return false;
            }
            route.method = *text;
            return true;
        }

        void checkPath(const YamlCursor& item, const RouteConfiguration& route)
        {
            if (route.pathPrefix.empty())
                return;
            this->routePaths.add({ route.pathPrefix, route.method }, item,
                fmt::format("{}{}{}", route.method, route.method.empty() ? "" : " ", route.pathPrefix));
            if (route.pathPrefix == requestsPath || route.pathPrefix.starts_with(fmt::format("{}/", requestsPath)))
                item.report(fmt::format("paths under {} are reserved for callers that poll a request", requestsPath));
        }

        /// Nobody but the operator knows whether a call that changes something may run twice. A wrong guess places an
        /// order twice, so that there is no default for it.
        static void readIdempotent(YamlFields& fields, const ServiceConfiguration& service, RouteConfiguration& route)
        {
            const bool harmless = service.kind == ServiceKind::Engine || isSafeMethod(route.method);
            route.idempotent = harmless;
            fields.boolean("idempotent", route.idempotent, harmless ? Presence::Optional : Presence::Required);
        }

        void visit(const ServiceConfiguration& service,
            const std::map<ServiceName, const ServiceConfiguration*>& byName, std::vector<ServiceName>& path,
            std::set<ServiceName>& finished)
        {
            if (finished.contains(service.name))
                return;
            path.push_back(service.name);
            for (const ServiceName& next : service.dependsOn) {
                const auto start = std::find(path.begin(), path.end(), next);
                if (start != path.end()) {
                    this->reportCycle(service.name, { start, path.end() });
                    continue;
                }
                if (const auto entry = byName.find(next); entry != byName.end())
                    this->visit(*entry->second, byName, path, finished);
            }
            path.pop_back();
            finished.insert(service.name);
        }

        void reportCycle(const ServiceName& from, const std::vector<ServiceName>& cycle)
        {
            const auto entry = this->dependencies.find({ from, cycle.front() });
            if (entry != this->dependencies.end())
                entry->second.report(
                    fmt::format("dependency cycle: {} -> {}", fmt::join(cycle, " -> "), cycle.front()));
        }

        const DeclaredNames& names;
        std::set<ServiceName> services;
        UniqueValues<ServiceName> serviceNames { "service" };
        UniqueValues<UpstreamId> upstreamIds { "upstream id" };
        UniqueValues<SocketAddress> addresses { "address" };
        UniqueValues<std::pair<std::string, std::string>> routePaths { "route path" };
        std::map<std::pair<ServiceName, ServiceName>, YamlCursor> dependencies;
    };

    /// Services may depend on later ones, so that all names are read before the services.
    std::set<ServiceName> serviceNames(const std::vector<YamlCursor>& items)
    {
        std::set<ServiceName> names;
        ProblemList ignored;
        for (const YamlCursor& item : items) {
            ServiceName name;
            YamlFields(YamlCursor(item.node(), item.path(), ignored)).name("name", name);
            if (!name.empty())
                names.insert(std::move(name));
        }
        return names;
    }

} // namespace

std::vector<ServiceConfiguration> readServices(const std::vector<YamlCursor>& items, const DeclaredNames& names)
{
    if (items.size() > maxServices) {
        items[maxServices].report(fmt::format("more than {} services", maxServices));
        return {};
    }
    ServiceReader reader(names, serviceNames(items));
    std::vector<ServiceConfiguration> services;
    services.reserve(items.size());
    for (const YamlCursor& item : items)
        services.push_back(reader.read(item));
    reader.checkCycles(services);
    return services;
}

} // namespace teaselshore
