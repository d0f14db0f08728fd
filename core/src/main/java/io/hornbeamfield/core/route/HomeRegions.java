package io.hornbeamfield.core.route;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The regions that a request may reach. A zone whose region is unknown is outside all of them.
 *
 * <p>The load is a route or a workspace whose requests must not leave some regions while servers and instances of other
 * regions are in the same lists.
 *
 * <pre>{@code
 * HomeRegions home = HomeRegions.of(route, workspace);
 * boolean usable = home.allowsServer(server.zone(), regions);
 * }</pre>
 *
 * @param restricted whether only the given regions are allowed
 * @param regions names of the allowed regions; none if no region satisfies all restrictions
 */
public record HomeRegions(boolean restricted, Set<String> regions) {
    /** Allows all regions. */
    public static final HomeRegions ANY = new HomeRegions(false, Set.of());

    public HomeRegions {
        regions = Set.copyOf(regions);
    }

    /** Allows the given regions only. */
    public static HomeRegions only(Set<String> regions) {
        return new HomeRegions(true, regions);
    }

    /** Returns the regions that a route and the workspace of a request allow. */
    public static HomeRegions of(Route route, Optional<WorkspaceAccess> workspace) {
        return workspace.map(WorkspaceAccess::homeRegions).orElse(ANY).and(route.homeRegions());
    }

    /** Returns the regions that this and another restriction allow. */
    public HomeRegions and(HomeRegions other) {
        if (!restricted || !other.restricted) {
            return restricted ? this : other;
        }
        Set<String> both = new HashSet<>(regions);
        both.retainAll(other.regions);
        return only(both);
    }

    /** Returns whether a request may be sent to a server in a zone. */
    public boolean allowsServer(String zone, ZoneRegions zones) {
        return !restricted
                || !zones.declared()
                || zones.of(zone).filter(regions::contains).isPresent();
    }

    /** Returns whether a caller may send a request to an instance in a zone, which its own region always allows. */
    public boolean allowsInstance(String zone, String callerZone, ZoneRegions zones) {
        boolean callersRegion = zones.of(zone).isPresent() && zones.of(zone).equals(zones.of(callerZone));
        return callersRegion || allowsServer(zone, zones);
    }
}
