package io.hornbeamfield.net.peer;

import static io.hornbeamfield.net.peer.Recorder.INTERVAL;
import static io.hornbeamfield.net.peer.Recorder.next;
import static io.hornbeamfield.net.peer.Recorder.noEventWithin;
import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.ConfigHead;
import io.hornbeamfield.core.config.Priority;
import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.config.Workspace;
import io.hornbeamfield.core.config.WorkspaceShard;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the life cycle of links: authentication, one link per pair of routers, heartbeat time-out and redialling. */
class PeerLinkTest {
    private final Recorder a = new Recorder("a");
    private final Recorder b = new Recorder("b");

    @AfterEach
    void stop() {
        a.close();
        b.close();
    }

    @Test
    void messagesAndHeartbeatsArriveOnBothSides() throws Exception {
        a.transport.dial(b.address());
        assertThat(next(a.linked).peer().instanceId()).isEqualTo("b");
        PeerLink toA = next(b.linked);
        toA.send(new PeerMessage.TransferGrant("t1", "plots", 40, 60L));
        assertThat(next(a.messages)).isEqualTo(new PeerMessage.TransferGrant("t1", "plots", 40, 60L));
        assertThat(next(a.heartbeats)).isEqualTo(new PeerMessage.Heartbeat(1, 7, 5, ServerState.LEAVING, 3));
        assertThat(next(b.heartbeats).sequence()).isEqualTo(1);
    }

    @Test
    void aConfigurationOfSeveralMegabytesArrives() throws Exception {
        Map<String, Workspace> workspaces = new HashMap<>();
        for (int i = 0; i < 20_000; i++) {
            String name = "w" + i;
            workspaces.put(name, new Workspace(name, List.of("0".repeat(64)), Priority.LOW, Optional.of((long) i)));
        }
        ConfigHead head = new ConfigHead(3, "ordinary", Map.of(), Map.of(), Map.of("00", 3L), 6);
        PeerMessage offer = new PeerMessage.ConfigOffer(head, Map.of("00", new WorkspaceShard(workspaces)));
        a.transport.dial(b.address());
        next(b.linked);
        next(a.linked).send(offer);
        assertThat(next(b.messages)).isEqualTo(offer);
    }

    @Test
    void aRouterWithAnotherSecretIsNotLinked() throws Exception {
        try (Recorder stranger = new Recorder("c", "other", 0, 12)) {
            stranger.transport.dial(a.address());
            assertThat(noEventWithin(a.linked, INTERVAL.multipliedBy(5))).isTrue();
            assertThat(stranger.linked).isEmpty();
        }
    }

    @Test
    void routersThatDialEachOtherKeepOneLinkOnBothSides() throws Exception {
        a.transport.dial(b.address());
        b.transport.dial(a.address());
        next(a.linked);
        next(b.linked);
        Thread.sleep(INTERVAL.multipliedBy(5).toMillis());
        assertThat(a.transport.links()).hasSize(1);
        assertThat(b.transport.links()).hasSize(1);
        assertThat(a.linked.size() - a.closed.size()).isZero();
        a.heartbeats.clear();
        next(a.heartbeats);
    }

    @Test
    void aRouterThatDialsItselfKeepsNoLink() throws Exception {
        a.transport.dial(a.address());
        assertThat(noEventWithin(a.linked, INTERVAL.multipliedBy(4))).isTrue();
    }

    @Test
    void aSilentLinkIsClosedAndRedialled() throws Exception {
        try (TcpProxy proxy = new TcpProxy(b.transport.port())) {
            a.transport.dial(proxy.address());
            PeerLink first = next(a.linked);
            proxy.blackholeOpenConnections();
            assertThat(next(a.closed)).isSameAs(first);
            assertThat(next(a.linked).isOpen()).isTrue();
            a.heartbeats.clear();
            next(a.heartbeats);
        }
    }

    @Test
    void aRestartedRouterIsLinkedAgain() throws Exception {
        a.transport.dial(b.address());
        next(a.linked);
        int port = b.transport.port();
        b.close();
        next(a.closed);
        try (Recorder restarted = new Recorder("b2", "secret", port, 12)) {
            assertThat(next(a.linked).peer().instanceId()).isEqualTo("b2");
            assertThat(next(restarted.linked).peer().instanceId()).isEqualTo("a");
        }
    }

    @Test
    void aRouterAtItsLinkLimitRejectsFurtherRouters() throws Exception {
        try (Recorder small = new Recorder("s", "secret", 0, 1)) {
            a.transport.dial(small.address());
            next(small.linked);
            b.transport.dial(small.address());
            assertThat(noEventWithin(small.linked, INTERVAL.multipliedBy(4))).isTrue();
            assertThat(small.transport.links()).hasSize(1);
        }
    }

    @Test
    void aFrameOverTheLimitClosesTheConnection() throws Exception {
        try (Socket stranger = new Socket("127.0.0.1", a.transport.port())) {
            OutputStream out = stranger.getOutputStream();
            out.write(ByteBuffer.allocate(4)
                    .putInt(PeerTransport.MAX_FRAME_BYTES + 1)
                    .array());
            stranger.setSoTimeout(2_000);
            stranger.getInputStream().readAllBytes();
        }
        assertThat(a.linked).isEmpty();
    }

    @Test
    void aConnectionThatNeverAnswersDoesNotStopRedialling() throws Exception {
        try (ServerSocket mute = new ServerSocket(0)) {
            a.transport.dial("127.0.0.1:" + mute.getLocalPort());
            mute.setSoTimeout(5_000);
            try (Socket first = mute.accept();
                    Socket second = mute.accept()) {
                assertThat(first.getPort()).isNotEqualTo(second.getPort());
            }
        }
    }
}
