package io.hornbeamfield.core.routing;

import io.hornbeamfield.core.config.ServerState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the routers that an address answer names: live ones only, first those of the caller's availability zone, each
 * group in the rendezvous order of the workspace, so that a workspace's requests meet the same few allotments.
 *
 * <pre>{@code
 * List<RouterInfo> answer = RouterDirectory.addressesFor("plots", "merrimack", blackboard.routers());
 * }</pre>
 */
public final class RouterDirectory {
    /** Number of routers in an answer. */
    public static final int MAX_ROUTERS = 3;

    /** Seconds for which a caller may keep an answer. */
    public static final int VALID_FOR_SECONDS = 15;

    /** One place is left for another availability zone, so that a caller survives the loss of its own. */
    private static final int MAX_OF_CALLERS_ZONE = 2;

    private RouterDirectory() {}

    /** Returns up to three live routers in the order in which the caller tries them. */
    public static List<RouterInfo> addressesFor(String workspace, String zone, List<RouterInfo> known) {
        List<RouterInfo> live = known.stream()
                .filter(r -> r.state() == ServerState.LIVE)
                .sorted(Comparator.comparingLong((RouterInfo r) -> Rendezvous.weight(workspace, r.instanceId()))
                        .reversed()
                        .thenComparing(RouterInfo::incarnation))
                .toList();
        List<RouterInfo> near = live.stream().filter(r -> r.zone().equals(zone)).toList();
        List<RouterInfo> far = live.stream().filter(r -> !r.zone().equals(zone)).toList();
        int nearCount = Math.min(near.size(), Math.max(MAX_OF_CALLERS_ZONE, MAX_ROUTERS - far.size()));
        List<RouterInfo> answer = new ArrayList<>(near.subList(0, Math.min(nearCount, MAX_ROUTERS)));
        answer.addAll(far.subList(0, Math.min(far.size(), MAX_ROUTERS - answer.size())));
        return List.copyOf(answer);
    }
}
