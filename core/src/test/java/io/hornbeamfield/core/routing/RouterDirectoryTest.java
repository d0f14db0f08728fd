package io.hornbeamfield.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.ServerState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against answers that contain routers shutting down, and against answers that a zone outage makes useless. */
class RouterDirectoryTest {
    private static RouterInfo router(String id, String zone, ServerState state) {
        return new RouterInfo(id, id + "-00000001", zone, "10.0.0.1:80", state);
    }

    private static List<RouterInfo> fleet() {
        List<RouterInfo> list = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            list.add(router("r" + i, i < 4 ? "a" : "b", ServerState.LIVE));
        }
        return list;
    }

    @Test
    void anAnswerNamesTwoRoutersOfTheCallersZoneFirstAndOneOfAnother() {
        for (int i = 0; i < 100; i++) {
            assertThat(RouterDirectory.addressesFor("w" + i, "a", fleet()))
                    .extracting(RouterInfo::zone)
                    .containsExactly("a", "a", "b");
        }
    }

    @Test
    void leavingRoutersAreExcluded() {
        List<RouterInfo> list = new ArrayList<>(fleet());
        list.replaceAll(r -> r.zone().equals("b") ? router(r.instanceId(), "b", ServerState.LEAVING) : r);
        assertThat(RouterDirectory.addressesFor("w", "b", list))
                .hasSize(3)
                .allMatch(r -> r.zone().equals("a"));
    }

    @Test
    void onlyTheWorkspacesOfALostRouterAreReassignedAndAllRoutersAreUsed() {
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            List<RouterInfo> before = RouterDirectory.addressesFor("w" + i, "a", fleet());
            List<RouterInfo> rest = fleet();
            rest.removeIf(r -> r.instanceId().equals("r1"));
            before.forEach(r -> used.add(r.instanceId()));
            if (!before.contains(fleet().get(1))) {
                assertThat(RouterDirectory.addressesFor("w" + i, "a", rest)).isEqualTo(before);
            }
        }
        assertThat(used).hasSize(7);
    }
}
