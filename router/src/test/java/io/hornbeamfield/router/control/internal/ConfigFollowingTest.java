package io.hornbeamfield.router.control.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.ConfigAdoption;
import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.config.Workspace;
import io.hornbeamfield.core.config.WorkspaceShard;
import io.hornbeamfield.net.peer.PeerMessage;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against a configuration that is adopted late, reverted, served unconfirmed or served too early. */
class ConfigFollowingTest {
    private final ManualLoop loop = new ManualLoop();
    private final FakePlatform.Store store = new FakePlatform.Store();
    private final TestRouter router = TestRouter.unconfigured("a", store, loop);
    private final ConfigController config = new ConfigController(router.context, router.dispatcher);

    private long inForce() {
        return router.context
                .blackboard()
                .config()
                .map(c -> c.head().revision())
                .orElse(0L);
    }

    private void publish(long revision) {
        store.put(ConfigController.HEAD_KEY, TestRouter.head(revision, Map.of()));
        loop.run();
    }

    /** Starts the controller and advances past the time for which it waits for peers. */
    private void startWithoutPeers() {
        config.start();
        loop.advance(ConfigAdoption.STARTUP_PEER_TIMEOUT);
    }

    private static ConfigHead withShard(ConfigHead head, long shardRevision) {
        return new ConfigHead(
                head.revision(),
                head.activePreset(),
                head.presets(),
                head.pools(),
                Map.of(WorkspaceShard.shardOf("plots"), shardRevision),
                head.weightStoreLoadsPerMinute());
    }

    private static WorkspaceShard shard() {
        return new WorkspaceShard(
                Map.of("plots", new Workspace("plots", List.of("a".repeat(64)), Priority.HIGH, Optional.empty())));
    }

    private FakeLink peer(long revision, long ageMs) {
        FakeLink peer = new FakeLink("b-00000001");
        router.dispatcher.onLinked(peer);
        router.dispatcher.onMessage(peer, new PeerMessage.Heartbeat(1, revision, ageMs, ServerState.LIVE, 0));
        loop.run();
        return peer;
    }

    @Test
    void aNewRevisionIsInForceAsSoonAsTheWatchAnswers() {
        publish(1);
        startWithoutPeers();
        assertThat(inForce()).isEqualTo(1);
        publish(2);
        assertThat(inForce()).isEqualTo(2);
    }

    @Test
    void aRevisionIsAdoptedOnlyWithItsShards() {
        String key = "config/workspaces/" + WorkspaceShard.shardOf("plots") + "/5";
        store.put(ConfigController.HEAD_KEY, withShard(TestRouter.head(5, Map.of()), 5));
        startWithoutPeers();
        loop.advanceMillis(600);
        assertThat(inForce()).isZero();
        store.put(key, shard());
        loop.advanceMillis(600);
        assertThat(inForce()).isEqualTo(5);
        assertThat(router.context.blackboard().config().orElseThrow().workspace("plots"))
                .isPresent();
    }

    @Test
    void anOlderHeadFromALaggingCopyOrPeerNeverReverts() {
        publish(7);
        startWithoutPeers();
        publish(6);
        router.dispatcher.onMessage(peer(6, 0), new PeerMessage.ConfigOffer(TestRouter.head(6, Map.of()), Map.of()));
        loop.advanceMillis(1_000);
        assertThat(inForce()).isEqualTo(7);
    }

    @Test
    void anInvalidRevisionIsNotAdoptedAndACorrectedOneIs() {
        publish(1);
        startWithoutPeers();
        ConfigHead good = TestRouter.head(2, Map.of());
        store.put(ConfigController.HEAD_KEY, new ConfigHead(2, "holiday", good.presets(), good.pools(), Map.of(), 6));
        loop.advanceMillis(5_000);
        assertThat(inForce()).isEqualTo(1);
        publish(3);
        assertThat(inForce()).isEqualTo(3);
    }

    @Test
    void withThePlatformUnavailableAPeersConfigurationIsFetchedAndServed() {
        router.platform.unavailable = true;
        config.start();
        FakeLink peer = peer(4, 100);
        assertThat(peer.sent).contains(new PeerMessage.ConfigRequest(4));
        router.dispatcher.onMessage(peer, new PeerMessage.ConfigOffer(TestRouter.head(4, Map.of()), Map.of()));
        loop.run();
        assertThat(inForce()).isEqualTo(4);
    }

    @Test
    void aStartingRouterDoesNotServeAnOlderRevisionThanItsPeers() {
        FakeLink peer = peer(9, 0);
        publish(8);
        config.start();
        loop.run();
        assertThat(inForce()).isZero();
        router.dispatcher.onMessage(peer, new PeerMessage.ConfigOffer(TestRouter.head(9, Map.of()), Map.of()));
        loop.run();
        assertThat(inForce()).isEqualTo(9);
    }

    @Test
    void aStaleReadBeforeTheFirstHeartbeatIsNotServed() {
        publish(8);
        config.start();
        loop.advanceMillis(1_000);
        assertThat(inForce()).isZero();
        assertThat(config.revision()).isZero();
        FakeLink peer = peer(9, 0);
        loop.advance(ConfigAdoption.STARTUP_PEER_TIMEOUT);
        assertThat(inForce()).isZero();
        router.dispatcher.onMessage(peer, new PeerMessage.ConfigOffer(TestRouter.head(9, Map.of()), Map.of()));
        loop.run();
        assertThat(inForce()).isEqualTo(9);
        assertThat(config.revision()).isEqualTo(9);
    }

    @Test
    void theFirstHeartbeatOfAServingPeerEndsTheWait() {
        publish(8);
        config.start();
        loop.advanceMillis(200);
        peer(8, 0);
        assertThat(inForce()).isEqualTo(8);
    }

    @Test
    void withoutPlatformAndPeersNothingIsServedUntilThePlatformReturns() {
        publish(8);
        router.platform.unavailable = true;
        config.start();
        loop.advance(Duration.ofSeconds(20));
        assertThat(inForce()).isZero();
        router.platform.unavailable = false;
        loop.advance(Duration.ofSeconds(3));
        assertThat(inForce()).isEqualTo(8);
    }

    @Test
    void aRouterWithANewerRevisionOffersItToAPeerThatAsks() {
        publish(3);
        config.start();
        loop.run();
        FakeLink peer = peer(1, 0);
        router.dispatcher.onMessage(peer, new PeerMessage.ConfigRequest(2));
        loop.run();
        assertThat(peer.sent).contains(new PeerMessage.ConfigOffer(TestRouter.head(3, Map.of()), Map.of()));
    }

    @Test
    void theConfigurationIsStaleAfter17SecondsWithoutAnyConfirmation() {
        publish(1);
        config.start();
        loop.advance(Duration.ofMinutes(2));
        assertThat(router.context.blackboard().configStale()).isFalse();
        router.platform.unavailable = true;
        loop.advance(Duration.ofSeconds(28));
        assertThat(router.context.blackboard().configStale()).isTrue();
        peer(1, 0);
        loop.advanceMillis(500);
        assertThat(router.context.blackboard().configStale()).isFalse();
        router.platform.unavailable = false;
        loop.advance(Duration.ofSeconds(20));
        assertThat(router.context.blackboard().configStale()).isFalse();
    }

    @Test
    void aSilentWatchDoesNotMakeTheConfigurationStale() {
        publish(1);
        config.start();
        loop.advanceMillis(9_000);
        router.platform.unavailable = true;
        loop.advanceMillis(2_000);
        router.platform.unavailable = false;
        loop.advanceMillis(3_000);
        assertThat(config.confirmationAgeMs()).isLessThan(3_000);
    }
}
