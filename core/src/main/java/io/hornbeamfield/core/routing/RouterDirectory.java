package io.hornbeamfield.core.routing;

import io.hornbeamfield.core.config.ServerState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the routers that are returned for an address lookup: only live ones, those in the caller's availability zone
 * first. Within each group they are in the rendezvous order of the workspace, so that its requests use the allotments
 * of the same few routers.
 *
 * <pre>{@code
 * List<RouterInfo> routers = RouterDirectory.addressesFor("plots", "merrimack", blackboard.routers());
 * }</pre>
 */
public final class RouterDirectory {
    /** Largest number of routers in an answer. */
    public static final int MAX_ROUTERS = 3;

    /** Time for which a caller may cache an answer, in seconds. */
    public static final int VALID_FOR_SECONDS = 15;

    /**
     * Most routers of the caller's zone if there are others; one of another zone keeps it served if its own zone fails.
     */
    private static final int MAX_IN_CALLER_ZONE = 2;

    private RouterDirectory() {}

    /** Returns up to {@link #MAX_ROUTERS} live routers in the order in which the caller tries them. */
    public static List<RouterInfo> addressesFor(String workspace, String zone, List<RouterInfo> known) {
        List<RouterInfo> live = known.stream()
                .filter(r -> r.state() == ServerState.LIVE)
                .sorted(Comparator.comparingLong((RouterInfo r) -> Rendezvous.weight(workspace, r.instanceId()))
                        .reversed()
                        .thenComparing(RouterInfo::incarnation))
                .toList();
        List<RouterInfo> sameZone =
                live.stream().filter(r -> r.zone().equals(zone)).toList();
        List<RouterInfo> otherZones =
                live.stream().filter(r -> !r.zone().equals(zone)).toList();
        int sameZoneCount = Math.min(sameZone.size(), Math.max(MAX_IN_CALLER_ZONE, MAX_ROUTERS - otherZones.size()));
        List<RouterInfo> answer = new ArrayList<>(sameZone.subList(0, Math.min(sameZoneCount, MAX_ROUTERS)));
        answer.addAll(otherZones.subList(0, Math.min(otherZones.size(), MAX_ROUTERS - answer.size())));
        return List.copyOf(answer);
    }
}
