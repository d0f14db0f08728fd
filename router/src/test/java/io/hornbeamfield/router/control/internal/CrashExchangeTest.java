package io.hornbeamfield.router.control.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.hornbeamfield.core.config.ServerState;
import io.hornbeamfield.core.quarantine.CrashEvidence;
import io.hornbeamfield.core.quarantine.CrashReport;
import io.hornbeamfield.net.peer.PeerMessage;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against judging crashes of engines by those alone that one router has seen. */
final class CrashExchangeTest {
    private final ManualLoop loop = new ManualLoop();
    private final TestRouter router = new TestRouter("a", new FakePlatform.Store(), loop);
    private final CrashController crashes = new CrashController(router.context, router.dispatcher, loop.clock());

    private static CrashEvidence crash(String engine) {
        return new CrashEvidence(List.of(new CrashReport("m", engine, List.of(Set.of("dead")))), Map.of());
    }

    private void heartbeat(String sender, Map<String, CrashEvidence> known) {
        router.dispatcher.onMessage(
                new FakeLink(sender + "-00000001"),
                new PeerMessage.Heartbeat(1, 1, 0, ServerState.LIVE, 0, Optional.of(known)));
        loop.run();
    }

    private boolean refuses() {
        return router.context
                .blackboard()
                .quarantine()
                .culpritIn("m", List.of("dead"))
                .isPresent();
    }

    @Test
    void crashesThatThreeRoutersSawOnceEachAreJudgedTogether() {
        crashes.engineCrashed("m", "e1/1", List.of("dead"));
        heartbeat("b", Map.of("b", crash("e2/1")));
        assertThat(refuses()).isFalse();
        heartbeat("c", Map.of("c", crash("e3/1")));
        assertThat(refuses()).isTrue();
        assertThat(crashes.known()).containsOnlyKeys("a", "b", "c");
    }

    @Test
    void aRestartedRouterGetsBackWhatItSawBefore() {
        heartbeat("b", Map.of("a", crash("e1/1"), "b", crash("e2/1"), "c", crash("e3/1")));
        assertThat(refuses()).isTrue();
        assertThat(crashes.known()).containsEntry("a", crash("e1/1"));
    }
}
