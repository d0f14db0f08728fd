package io.hornbeamfield.router.control.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.routing.RouterInfo;
import io.hornbeamfield.net.peer.PeerLink;
import io.hornbeamfield.net.peer.PeerMessage;
import io.hornbeamfield.net.peer.PeerTransport;
import io.hornbeamfield.net.platform.InstanceInfo;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** Guards the router membership: dead routers are removed, live ones stay and leaving ones are marked. */
class RouterListTest {
    private final ManualLoop loop = new ManualLoop();
    private final FakePlatform.Store store = new FakePlatform.Store();
    private final TestRouter router = new TestRouter("a", store, loop);
    private final RecordingTransport transport = new RecordingTransport();
    private final InstanceListController instances = new InstanceListController(router.context);
    private final PeerController peers =
            new PeerController(router.context, router.dispatcher, transport, instances, List.of("10.0.0.7:71"));

    private static final class RecordingTransport implements PeerTransport {
        final Set<String> addresses = new TreeSet<>();

        @Override
        public int port() {
            return 0;
        }

        @Override
        public void dial(String address) {
            addresses.add(address);
        }

        @Override
        public void stopDialling(String address) {
            addresses.remove(address);
        }

        @Override
        public List<PeerLink> links() {
            return List.of();
        }

        @Override
        public void close() {}
    }

    private void renew(String instance, ServerState state) {
        store.put(
                "routers/" + instance,
                new RouterStatus(
                        instance + "-00000001",
                        instance,
                        "b",
                        "10.0.0.2:80",
                        instance + ":71",
                        "10.0.0.2:90",
                        state,
                        1));
    }

    private FakeLink link(String instance) {
        FakeLink link = new FakeLink(instance + "-00000001");
        router.dispatcher.onLinked(link);
        loop.run();
        return link;
    }

    private List<String> live() {
        return router.context.blackboard().routers().stream()
                .filter(r -> r.state() == ServerState.LIVE)
                .map(RouterInfo::instanceId)
                .toList();
    }

    private void start() {
        instances.start();
        peers.start();
        loop.run();
    }

    @Test
    void seedsAndRoutersOnThePlatformAreDialledAndListed() {
        renew("b", ServerState.LIVE);
        start();
        assertThat(live()).containsExactly("a", "b");
        assertThat(transport.addresses).containsExactly("10.0.0.7:71", "b:71");
    }

    @Test
    void aRouterWhoseLinkBreaksIsListedAgainOnlyAfterItsNextRenewal() {
        renew("b", ServerState.LIVE);
        start();
        FakeLink link = link("b");
        router.dispatcher.onClosed(link);
        loop.advanceMillis(5_000);
        assertThat(live()).containsExactly("a");
        renew("b", ServerState.LIVE);
        loop.advanceMillis(5_000);
        assertThat(live()).containsExactly("a", "b");
    }

    @Test
    void aRouterThatNeverRenewsItsObjectExpires() {
        renew("b", ServerState.LIVE);
        start();
        loop.advance(Duration.ofSeconds(30));
        assertThat(live()).contains("b");
        loop.advance(Duration.ofSeconds(16));
        assertThat(live()).containsExactly("a");
    }

    @Test
    void anOutageOfThePlatformRemovesNoRouter() {
        renew("b", ServerState.LIVE);
        start();
        router.platform.unavailable = true;
        loop.advance(Duration.ofMinutes(10));
        router.platform.unavailable = false;
        loop.advance(Duration.ofSeconds(20));
        assertThat(live()).containsExactly("a", "b");
        loop.advance(Duration.ofSeconds(60));
        assertThat(live()).containsExactly("a");
    }

    @Test
    void aLeavingPeerIsMarkedWithItsHeartbeat() {
        renew("b", ServerState.LIVE);
        start();
        FakeLink link = link("b");
        router.dispatcher.onMessage(link, new PeerMessage.Heartbeat(1, 1, 0, ServerState.LEAVING, 0));
        loop.run();
        assertThat(live()).containsExactly("a");
    }

    @Test
    void theOwnStateOfALinkedPeerOverrulesAWrongInstanceList() {
        renew("b", ServerState.LIVE);
        renew("c", ServerState.LIVE);
        store.instances.add(new InstanceInfo("b", "router", "b:80", "b", ServerState.LEAVING));
        store.instances.add(new InstanceInfo("c", "router", "c:80", "b", ServerState.LEAVING));
        start();
        link("b");
        loop.advanceMillis(3_000);
        assertThat(live()).containsExactly("a", "b");
    }

    @Test
    void onlyAPartOfALargeFleetIsDialled() {
        for (int i = 0; i < 40; i++) {
            renew("r" + i, ServerState.LIVE);
        }
        start();
        assertThat(transport.addresses).hasSize(PeerController.DIALLED_BEYOND_FULL_MESH);
        assertThat(live()).hasSize(41);
    }
}
