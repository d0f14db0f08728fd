package io.hornbeamfield.core.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A version of the routes, services, limits and workspaces.
 *
 * <pre>{@code
 * Optional<Route> route = config.match("api.example", "/v1/chat");
 * }</pre>
 */
public final class RouteConfig {
    private final long version;
    private final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
    private final Map<String, ServiceSpec> services = new HashMap<>();
    private final Map<String, Long> longestEventPauses = new HashMap<>();
    private final Map<String, WorkspaceAccess> workspacesByKey = new HashMap<>();
    private final Map<String, WorkspaceAccess> workspaces = new HashMap<>();
    private final CallerLimits limits;
    private final boolean keysRequired;

    /** Creates a configuration. If {@code workspaces} is absent, requests need no key. */
    public RouteConfig(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            CallerLimits limits,
            Optional<List<WorkspaceAccess>> workspaces) {
        this.version = version;
        this.limits = limits;
        this.keysRequired = workspaces.isPresent();
        for (Route r : routes) {
            routesByHost
                    .computeIfAbsent(r.host().toLowerCase(Locale.ROOT), h -> new HashMap<>())
                    .put(r.pathPrefix(), r);
            r.services().forEach(s -> longestEventPauses.merge(s.service(), r.eventPauseMs(), Math::max));
        }
        services.forEach(s -> this.services.put(s.name(), s));
        for (WorkspaceAccess w : workspaces.orElse(List.of())) {
            this.workspaces.put(w.name(), w);
            w.keys().forEach(k -> workspacesByKey.put(k, w));
        }
    }

    /** Returns the version; a larger one is newer. */
    public long version() {
        return version;
    }

    /** Returns all services. */
    public Collection<ServiceSpec> services() {
        return List.copyOf(services.values());
    }

    /** Returns the limits for callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns whether requests on routes that are not open need a key. */
    public boolean keysRequired() {
        return keysRequired;
    }

    /** Returns the route of the given host with the longest prefix that matches the path. */
    public Optional<Route> match(String host, String path) {
        Map<String, Route> routes = routesByHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
        if (routes == null) {
            return Optional.empty();
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route r = routes.get(path.substring(0, slash + 1));
            if (r != null) {
                return Optional.of(r);
            }
        }
        return Optional.empty();
    }

    /** Returns the regions that all routes of a host allow; all regions if the host has no routes. */
    public HomeRegions homeRegionsOfHost(String host) {
        return routesByHost.getOrDefault(withoutPort(host).toLowerCase(Locale.ROOT), Map.of()).values().stream()
                .map(Route::homeRegions)
                .reduce(HomeRegions.ANY, HomeRegions::and);
    }

    /** Returns the regions that all workspaces allow. */
    public HomeRegions homeRegionsOfWorkspaces() {
        return workspaces.values().stream().map(WorkspaceAccess::homeRegions).reduce(HomeRegions.ANY, HomeRegions::and);
    }

    /** Returns whether a route or a workspace has home regions. */
    public boolean hasHomeRegions() {
        return homeRegionsOfWorkspaces().restricted()
                || routesByHost.keySet().stream()
                        .anyMatch(h -> homeRegionsOfHost(h).restricted());
    }

    /** Returns a service by its name. */
    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the longest pause between two events, in milliseconds, that the routes of a service declare, or 0. */
    public long longestEventPauseMs(String service) {
        return longestEventPauses.getOrDefault(service, 0L);
    }

    /** Returns the workspace that a key belongs to. */
    public Optional<WorkspaceAccess> workspaceOf(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }

    /** Returns all workspaces. */
    public Collection<WorkspaceAccess> workspaces() {
        return workspaces.values();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon < 0 || host.endsWith("]") ? host : host.substring(0, colon);
    }
}
